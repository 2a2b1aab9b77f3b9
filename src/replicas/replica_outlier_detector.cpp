#include "replicas/replica_outlier_detector.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr int brokenUntilEjection = 4;
/// Failures in a row, here or at several daemons, after which a replica is left out.
constexpr int failuresUntilEjection = 2;
/// First time for which a replica is left out; doubled with every failed trial.
constexpr duration initialEjectionTime = milliseconds(500);
constexpr duration maxEjectionTime = seconds(4);
/// A trial that has not ended after this long does not keep the next one back.
constexpr duration trialTimeout = seconds(1);

} // namespace

void replica_outlier_detector::onAnswer(time_point now)
{
    m_brokenInRow = 0;
    m_ejections = 0;
    m_failedInRow = 0;
    m_lastReceivedAt = now;
    if (m_isFailing)
        m_recoveredAt = now;
    m_isFailing = false;
}

void replica_outlier_detector::onFailed(time_point now, duration trialDelay)
{
    m_lastReceivedAt = now;
    m_failedAt = now;
    m_recoveredAt.reset();
    if (++m_failedInRow >= failuresUntilEjection || m_isFailing)
        ejectAsFailing(now, trialDelay);
}

void replica_outlier_detector::onOthersReportFailing(int others, time_point now,
                                                     duration trialDelay)
{
    // One failure here beside one there is enough: good replicas fail few requests.
    if (!m_isFailing && others + m_failedInRow >= failuresUntilEjection)
        ejectAsFailing(now, trialDelay);
}

void replica_outlier_detector::onOthersReportRecovered(time_point now)
{
    if (!m_isFailing)
        return;
    m_isFailing = false;
    m_failedInRow = 0;
    m_ejections = 0;
    m_recoveredAt = now;
}

std::optional<time_point> replica_outlier_detector::failedAt() const
{
    return m_failedInRow > 0 ? std::optional(m_failedAt) : std::nullopt;
}

void replica_outlier_detector::ejectAsFailing(time_point now, duration trialDelay)
{
    m_isFailing = true;
    m_ejectedUntil = now + trialDelay;
    m_ejections = std::max(m_ejections, 1);
}

void replica_outlier_detector::onBroken(time_point now)
{
    if (++m_brokenInRow >= brokenUntilEjection || m_ejections > 0)
        eject(now);
}

void replica_outlier_detector::onUnreachable(time_point now)
{
    eject(now);
}

void replica_outlier_detector::onSent(time_point now)
{
    if (m_ejections > 0)
        m_trialAt = now;
}

bool replica_outlier_detector::mayTake(time_point now) const
{
    if (m_ejections == 0)
        return true;
    return now >= m_ejectedUntil && now >= m_trialAt + trialTimeout;
}

void replica_outlier_detector::eject(time_point now)
{
    // Requests that were under way together fail together: they count as one sign.
    if (m_ejections > 0 && now < m_ejectedUntil)
        return;
    const duration out = initialEjectionTime * (1 << std::min(m_ejections, 3));
    m_ejectedUntil = now + std::min(out, maxEjectionTime);
    ++m_ejections;
    m_brokenInRow = 0;
}

} // namespace azurehill
