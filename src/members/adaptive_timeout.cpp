#include "members/adaptive_timeout.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Upper bound. A store fifty times slower than usual responds within 200 ms, or within 400 ms to a
/// write that spans partitions; the margin covers pauses of the store and the hosts.
constexpr double maxTimeoutMs = 700;
/// Used until \c minSamples responses have been measured.
constexpr double initialTimeoutMs = 400;
constexpr int minSamples = 8;
/// Lower bound, ten typical response times: the store and the hosts pause for some tens of
/// milliseconds.
constexpr double minTimeoutMs = 120;
/// Weights of a new sample, as in RFC 6298.
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
