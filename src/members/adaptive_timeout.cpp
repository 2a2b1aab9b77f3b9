#include "members/adaptive_timeout.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// A store that is fifty times slower than usual answers in 200 ms, and in 400 ms where a write
/// spans parts; pauses come on top.
constexpr double maxTimeoutMs = 700;
/// Until answers have shown how long they take.
constexpr double initialTimeoutMs = 400;
constexpr int minSamples = 8;
/// Ten usual answers: the store and the hosts have pauses of some tens of milliseconds.
constexpr double minTimeoutMs = 120;
/// Weights of a new time, as for TCP's retransmission timeout (RFC 6298).
constexpr double meanWeight = 0.125;
constexpr double deviationWeight = 0.25;
constexpr double deviationFactor = 4;
constexpr int maxDoublings = 3;

} // namespace

void adaptive_timeout::onResponse(duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (m_responseCount == 0)
        m_meanMs = ms;
    m_deviationMs += deviationWeight * (std::abs(ms - m_meanMs) - m_deviationMs);
    m_meanMs += meanWeight * (ms - m_meanMs);
    ++m_responseCount;
    m_consecutiveTimeouts = 0;
}

void adaptive_timeout::onTimeout()
{
    ++m_consecutiveTimeouts;
}

duration adaptive_timeout::timeout() const
{
    double ms = initialTimeoutMs;
    if (m_responseCount >= minSamples)
        ms = std::max(minTimeoutMs, m_meanMs + deviationFactor * m_deviationMs);
    ms = std::min(maxTimeoutMs, std::ldexp(ms, std::min(m_consecutiveTimeouts, maxDoublings)));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace azurehill
