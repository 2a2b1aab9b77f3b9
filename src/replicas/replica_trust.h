#pragma once

#include "core/core.h"

namespace azurehill {

/// \brief What requests have shown of a replica, and whether it should get more of them.
///
/// Failures that come now and then are no reason to leave a replica out: a few percent of lost
/// answers cost less than its room. Several in a row, or a peer that can't be reached, are.
class replica_trust
{
public:
    /// \brief The replica answered, well or with a refusal.
    void onAnswer(time_point now);
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
    /// \returns when the replica was last heard of.
    time_point lastHeard() const { return m_lastHeard; }

private:
    void eject(time_point now);

    int m_brokenInRow = 0;
    int m_ejections = 0;
    time_point m_outUntil;
    time_point m_trialAt;
    time_point m_lastHeard;
};

} // namespace azurehill
