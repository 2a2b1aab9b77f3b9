#pragma once

#include "core/runtime_clock.h"

#include <cstdint>
#include <optional>

namespace azurehill {

/// \brief The platform's time as it can be known here: it is certainly within the bounds.
struct time_bounds
{
    std::int64_t earliestMs = 0;
    std::int64_t latestMs = 0;
};

/// \brief Estimates the platform's time from answers that carry it.
///
/// An answer's time was taken between the request and the answer, so the middle of the two is wrong
/// by half the round trip at the most. The best sample is kept while its error grows with drift.
class platform_time
{
public:
    /// \brief Takes in an answer with the platform's time \p nowMs, itself wrong by \p error.
    void addSample(time_point sentAt, time_point receivedAt, std::int64_t nowMs,
                   duration error = {});
    /// \returns the platform's time at \p now, or nothing before the first sample.
    std::optional<time_bounds> at(time_point now) const;

private:
    duration errorAt(time_point now) const;

    std::optional<time_point> m_sampledAt;
    std::int64_t m_platformMs = 0;
    duration m_error{};
};

} // namespace azurehill
