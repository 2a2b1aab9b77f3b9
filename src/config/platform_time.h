#pragma once

#include "core/runtime_clock.h"

#include <cstdint>
#include <optional>

namespace azurehill {

/// \brief An interval that certainly contains the platform's time.
struct time_bounds
{
    std::int64_t earliestMs = 0;
    std::int64_t latestMs = 0;
};

/// \brief Estimates the platform's clock from responses that carry its time, by Cristian's
/// algorithm.
///
/// The time in a response was taken between request and response, so assigning it to the middle of
/// the two is wrong by up to half the round trip. The sample with the smallest error is kept, where
/// the error of the kept sample grows with clock drift.
class platform_time
{
public:
    /// \brief Adds a response with the platform's time \p nowMs, whose own error is up to \p error.
    void addSample(time_point sentAt, time_point receivedAt, std::int64_t nowMs,
                   duration error = {});
    /// \returns bounds of the platform's time at \p now, or nothing before the first sample.
    std::optional<time_bounds> at(time_point now) const;

private:
    duration errorAt(time_point now) const;

    std::optional<time_point> m_sampledAt;
    std::int64_t m_platformMs = 0;
    duration m_error{};
};

} // namespace azurehill
