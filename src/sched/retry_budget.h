#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <random>

namespace azurehill {

/// \brief Keeps retries a small share of the traffic, so that they can't grow a fault into an
/// overload: every call earns a part of a token, every retry costs a whole one.
class retry_budget
{
public:
    retry_budget(const scheduler_parameters &knobs, std::uint64_t seed)
        : m_share(knobs.retryRatio), m_random(seed)
    { }

    void setShare(double share) { m_share = share; }
    void onCall();
    /// \brief Takes a token for a retry, if the call may be repeated at all.
    /// \param attempt how many times the call has been sent.
    /// \returns the delay before the retry, or nothing when there is to be none.
    std::optional<duration> take(outcome ended, bool idempotent, int attempt);

private:
    double m_share;
    double m_tokens = 5;
    std::minstd_rand m_random;
};

} // namespace azurehill
