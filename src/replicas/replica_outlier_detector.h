#pragma once

#include "core/core.h"

#include <optional>

namespace azurehill {

/// \brief Outlier detector and circuit breaker of one replica: ejects it on consecutive failures
/// and readmits it after a successful trial request.
///
/// Occasional failures don't eject a replica: a few percent of lost answers cost less than the loss
/// of its capacity. Several in a row, or a replica that can't be reached, do.
class replica_outlier_detector
{
public:
    /// \brief The replica answered, with success or with a refusal.
    void onAnswer(time_point now);
    /// \brief The replica answered a request with a failure of its own. Immediate failures make a
    /// replica look fast and idle, so that it would attract more and more requests.
    /// \param trialDelay time until the next trial request if this failure ejects the replica.
    void onFailed(time_point now, duration trialDelay);
    /// \brief \p others other daemons report that the replica fails requests.
    void onOthersReportFailing(int others, time_point now, duration trialDelay);
    /// \brief Another daemon reports that the replica has recovered.
    void onOthersReportRecovered(time_point now);
    /// \brief An answer broke off or did not come.
    void onBroken(time_point now);
    /// \brief The connection failed, or the replica stopped responding: it has probably ended.
    void onUnreachable(time_point now);
    /// \brief A request is sent. While the replica is ejected, this is the trial request, and no
    /// other may be sent until it ends or times out.
    void onSent(time_point now);

    /// \returns whether requests may be sent to the replica.
    bool isAvailable(time_point now) const;
    /// \returns whether the replica has been ejected and has not answered since.
    bool isEjected() const { return m_ejections > 0; }
    /// \returns whether the replica has been ejected for failing requests and has not answered
    /// since.
    bool isFailing() const { return m_isFailing; }
    /// \returns when a request last failed at the replica, if none has been answered since.
    std::optional<time_point> failedAt() const;
    /// \returns when the replica last recovered from an ejection for failures.
    std::optional<time_point> recoveredAt() const { return m_recoveredAt; }
    /// \returns when the replica last answered.
    time_point lastReceivedAt() const { return m_lastReceivedAt; }

private:
    void eject(time_point now);
    void ejectAsFailing(time_point now, duration trialDelay);

    int m_brokenInRow = 0;
    int m_ejections = 0;
    int m_failedInRow = 0;
    bool m_isFailing = false;
    time_point m_failedAt;
    std::optional<time_point> m_recoveredAt;
    time_point m_ejectedUntil;
    time_point m_trialAt;
    time_point m_lastReceivedAt;
};

} // namespace azurehill
