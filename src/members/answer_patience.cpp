#include "members/answer_patience.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// A store that is fifty times slower than usual answers in 200 ms, and in 400 ms where a write
/// spans parts; pauses come on top.
constexpr double mostMs = 700;
/// Until answers have shown how long they take.
constexpr double firstMs = 400;
constexpr int enoughAnswers = 8;
/// Ten usual answers: the store and the hosts have pauses of some tens of milliseconds.
constexpr double leastMs = 120;
/// Weights of a new time, as for TCP's retransmission timeout (RFC 6298).
constexpr double typicalWeight = 0.125;
constexpr double deviationWeight = 0.25;
constexpr double deviations = 4;
constexpr int mostDoublings = 3;

} // namespace

void answer_patience::onAnswer(duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (m_answers == 0)
        m_typical = ms;
    m_deviation += deviationWeight * (std::abs(ms - m_typical) - m_deviation);
    m_typical += typicalWeight * (ms - m_typical);
    ++m_answers;
    m_timeouts = 0;
}

void answer_patience::onTimeout()
{
    ++m_timeouts;
}

duration answer_patience::wait() const
{
    double ms = firstMs;
    if (m_answers >= enoughAnswers)
        ms = std::max(leastMs, m_typical + deviations * m_deviation);
    ms = std::min(mostMs, std::ldexp(ms, std::min(m_timeouts, mostDoublings)));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace azurehill
