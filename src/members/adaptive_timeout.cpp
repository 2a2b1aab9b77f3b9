#include "members/adaptive_timeout.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// A store that is fifty times slower than usual answers in 200 ms, and in 400 ms where a write
/// spans parts; pauses come on top.
constexpr double mostMs = 700;
/// Until answers have shown how long they take.
constexpr double firstMs = 400;
constexpr int minSamples = 8;
/// Ten usual answers: the store and the hosts have pauses of some tens of milliseconds.
constexpr double leastMs = 120;
/// Weights of a new time, as for TCP's retransmission timeout (RFC 6298).
constexpr double typicalWeight = 0.125;
constexpr double deviationWeight = 0.25;
constexpr double deviations = 4;
constexpr int maxDoublings = 3;

} // namespace

void adaptive_timeout::onAnswer(duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (m_answers == 0)
        m_typical = ms;
    m_deviation += deviationWeight * (std::abs(ms - m_typical) - m_deviation);
    m_typical += typicalWeight * (ms - m_typical);
    ++m_answers;
    m_consecutiveTimeouts = 0;
}

void adaptive_timeout::onTimeout()
{
    ++m_consecutiveTimeouts;
}

duration adaptive_timeout::wait() const
{
    double ms = firstMs;
    if (m_answers >= minSamples)
        ms = std::max(leastMs, m_typical + deviations * m_deviation);
    ms = std::min(mostMs, std::ldexp(ms, std::min(m_consecutiveTimeouts, maxDoublings)));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace azurehill
