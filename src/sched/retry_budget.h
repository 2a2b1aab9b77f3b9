#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <random>

namespace azurehill {

/// \brief Retry budget: a token bucket that limits retries to a small ratio of the calls, so that
/// they cannot amplify a fault into an overload. Every call adds a fraction of a token; every
/// retry costs one token.
class retry_budget
{
public:
    retry_budget(const scheduler_parameters &parameters, std::uint64_t seed)
        : m_ratio(parameters.retryRatio), m_random(seed)
    { }

    void setRatio(double ratio) { m_ratio = ratio; }
    void onCall();
    /// \brief Takes a token for a retry, if the call is safe to repeat.
    /// \param attempt number of times the call has been sent.
    /// \returns the delay before the retry, or nothing if the call must not be retried.
    std::optional<duration> take(outcome ended, bool idempotent, int attempt);

private:
    double m_ratio;
    double m_tokens = 5;
    std::minstd_rand m_random;
};

} // namespace azurehill
