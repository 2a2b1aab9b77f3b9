#pragma once

#include "core/core.h"

#include <optional>

namespace azurehill {

/// \brief What requests have shown of a replica, and whether it should get more of them.
///
/// Failures that come now and then are no reason to leave a replica out: a few percent of lost
/// answers cost less than its room. Several in a row, or a peer that can't be reached, are.
class replica_outlier_detector
{
public:
    /// \brief The replica answered, well or with a refusal.
    void onAnswer(time_point now);
    /// \brief The replica answered a request with a failure of its own. Answers that come at once
    /// make it look quick and idle, so that it would draw more and more requests.
    /// \param trialDelay time until it may be tried again, if it is left out now.
    void onFailed(time_point now, duration trialDelay);
    /// \brief Other daemons told that it fails requests, \p others of them.
    void onOthersReportFailing(int others, time_point now, duration trialDelay);
    /// \brief Another daemon told that it answers again.
    void onOthersReportRecovered(time_point now);
    /// \brief A request broke off or got no answer.
    void onBroken(time_point now);
    /// \brief No connection could be made, or the replica went silent: it is probably gone.
    void onUnreachable(time_point now);
    /// \brief A request is sent; while the replica is doubted, no other may follow.
    void onSent(time_point now);

    /// \returns whether the replica may get a request.
    bool mayTake(time_point now) const;
    /// \returns whether the replica has been left out and has not answered since.
    bool isDoubted() const { return m_ejections > 0; }
    /// \returns whether the replica was left out since it fails requests, and has not answered
    /// since.
    bool isFailing() const { return m_isFailing; }
    /// \returns when a request last failed there, if none was answered since.
    std::optional<time_point> failedAt() const;
    /// \returns when the replica last answered again after it had been left out for failures.
    std::optional<time_point> recoveredAt() const { return m_recoveredAt; }
    /// \returns when the replica was last heard of.
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
