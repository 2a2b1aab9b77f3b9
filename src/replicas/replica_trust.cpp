#include "replicas/replica_trust.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr int brokenUntilOut = 4;
/// First time for which a replica is left out; doubled with every failed trial.
constexpr duration firstTimeOut = milliseconds(500);
constexpr duration longestTimeOut = seconds(4);
/// A trial that has not ended after this long does not keep the next one back.
constexpr duration trialTime = seconds(1);

} // namespace

void replica_trust::onAnswer(time_point now)
{
    m_brokenInRow = 0;
    m_ejections = 0;
    m_lastHeard = now;
}

void replica_trust::onBroken(time_point now)
{
    if (++m_brokenInRow >= brokenUntilOut || m_ejections > 0)
        eject(now);
}

void replica_trust::onUnreachable(time_point now)
{
    eject(now);
}

void replica_trust::onSent(time_point now)
{
    if (m_ejections > 0)
        m_trialAt = now;
}

bool replica_trust::mayTake(time_point now) const
{
    if (m_ejections == 0)
        return true;
    return now >= m_outUntil && now >= m_trialAt + trialTime;
}

void replica_trust::eject(time_point now)
{
    // Requests that were under way together fail together: they count as one sign.
    if (m_ejections > 0 && now < m_outUntil)
        return;
    const duration out = firstTimeOut * (1 << std::min(m_ejections, 3));
    m_outUntil = now + std::min(out, longestTimeOut);
    ++m_ejections;
    m_brokenInRow = 0;
}

} // namespace azurehill
