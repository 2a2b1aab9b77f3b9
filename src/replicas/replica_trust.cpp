#include "replicas/replica_trust.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr int brokenUntilOut = 4;
/// Failures in a row, here or at several daemons, after which a replica is left out.
constexpr int failedUntilOut = 2;
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
    m_failedInRow = 0;
    m_lastHeard = now;
    if (m_isFailing)
        m_recoveredAt = now;
    m_isFailing = false;
}

void replica_trust::onFailed(time_point now, duration trialPause)
{
    m_lastHeard = now;
    m_failedAt = now;
    m_recoveredAt.reset();
    if (++m_failedInRow >= failedUntilOut || m_isFailing)
        leaveOut(now, trialPause);
}

void replica_trust::onOthersFail(int others, time_point now, duration trialPause)
{
    // One failure here beside one there is enough: good replicas fail few requests.
    if (!m_isFailing && others + m_failedInRow >= failedUntilOut)
        leaveOut(now, trialPause);
}

void replica_trust::onOthersAnswer(time_point now)
{
    if (!m_isFailing)
        return;
    m_isFailing = false;
    m_failedInRow = 0;
    m_ejections = 0;
    m_recoveredAt = now;
}

std::optional<time_point> replica_trust::failedAt() const
{
    return m_failedInRow > 0 ? std::optional(m_failedAt) : std::nullopt;
}

void replica_trust::leaveOut(time_point now, duration trialPause)
{
    m_isFailing = true;
    m_outUntil = now + trialPause;
    m_ejections = std::max(m_ejections, 1);
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
