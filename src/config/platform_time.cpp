#include "config/platform_time.h"

namespace azurehill {

namespace {

/// A millisecond count is cut off, and so is what is derived from it.
constexpr duration rounding = milliseconds(1);
/// Clocks of two hosts drift apart by less than one part in this many.
constexpr std::int64_t driftDivisor = 5000;

} // namespace

void platform_time::addSample(time_point sentAt, time_point receivedAt, std::int64_t nowMs,
                              duration error)
{
    const duration total = (receivedAt - sentAt) / 2 + rounding + error;
    if (m_sampledAt && total > errorAt(receivedAt))
        return;
    m_sampledAt = sentAt + (receivedAt - sentAt) / 2;
    m_platformMs = nowMs;
    m_error = total;
}

duration platform_time::errorAt(time_point now) const
{
    return m_error + (now - *m_sampledAt) / driftDivisor;
}

std::optional<time_bounds> platform_time::at(time_point now) const
{
    if (!m_sampledAt)
        return std::nullopt;
    const std::int64_t middle = m_platformMs + toMilliseconds(now - *m_sampledAt);
    const std::int64_t error = toMilliseconds(errorAt(now)) + 1;
    return time_bounds{middle - error, middle + error};
}

} // namespace azurehill
