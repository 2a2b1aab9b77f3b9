#pragma once

#include "ownership/cell_view.h"
#include "ownership/lease.h"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Requests a write of this daemon's lease row.
struct renew_lease
{
    lease_record lease;
};

/// \brief Precondition on another daemon's lease row: it still has the version that was read.
struct lease_check
{
    daemon_id daemon;
    row_version version = 0;
};

/// \brief Requests a conditional write of the view, whose row must still have version \c expected.
struct change_view
{
    row_version expected = 0;
    cell_view next;
    /// Leases of the members to remove. The write fails if one of them was renewed in the meantime,
    /// for example by a daemon that was paused and has resumed.
    std::vector<lease_check> checks;
    /// Lease rows to delete together with their members.
    std::vector<daemon_id> leasesToDelete;
};

/// \brief Requests the deletion of the lease row of a daemon that is not a member, if the row still
/// has the version that was read.
struct delete_lease
{
    lease_check lease;
};

using membership_action = std::variant<change_view, delete_lease>;

/// \brief Membership state machine of one daemon: decides when to renew its lease and when to
/// change the cell's view.
///
/// Inputs are reads of the view and of the leases; outputs are actions that request writes. No call
/// blocks.
class membership
{
public:
    membership(member self, lease_settings settings);

    /// \brief Processes a read of the view. A view older than the known one is ignored, because a
    /// delayed response must not restore a previous owner.
    /// \param view the decoded row, or an empty view if the row does not exist.
    /// \returns whether the view changed.
    bool onView(const cell_view &view, time_point now);
    /// \brief Processes a read of all leases of the cell that was sent at \p sentAt.
    void onLeases(const std::vector<lease_record> &leases, time_point sentAt, time_point now);
    /// \brief Records that the renewal sent at \p sentAt took effect.
    void onRenewed(time_point sentAt);
    /// \brief Records that the programs gained by view \p number are loaded.
    void onProgramsLoaded(fencing_number number);
    /// \brief Sets the families with a running call, by their root programs. Must be called before
    /// each poll. A family that a join or a drain would move stays at this daemon until its calls
    /// have ended.
    void setRunningFamilies(std::set<program_id> roots);
    /// \brief Sets the runs that refuse connections, as confirmed by two observers. They are
    /// removed before their lease has expired if they also missed a renewal.
    void setRunsRefusingConnections(std::set<daemon_run> runs);
    /// \brief Starts a drain: with the next change of the view, this daemon is excluded from
    /// look-ups and programs without a running call move to other members.
    void drain();
    /// \brief Removes this daemon from the members with the next change of the view.
    void leave();

    /// \returns the lease renewal, if one is due at \p now.
    std::optional<renew_lease> pollLease(time_point now);
    /// \returns the writes to make at \p now.
    std::vector<membership_action> poll(time_point now);

    const cell_view &view() const { return m_view; }
    const member &self() const { return m_self; }
    /// \returns whether this daemon is a member with a valid lease at \p now, so that it may act as
    /// an owner.
    bool isActive(time_point now) const;
    /// \returns whether this daemon owns \p program and no pending change of the view moves it.
    /// Unless the family already has a running call, a call may start only if this is true.
    bool ownsWithoutPendingMove(const program_id &program) const;
    /// \returns whether a drain has no programs left to hand over.
    bool isDrained() const;
    /// \returns whether another run with the same name has replaced this daemon in the view. This
    /// run must then stop: two runs that replace each other repeatedly would move all programs back
    /// and forth.
    bool isSuperseded() const { return m_superseded; }
    /// \returns whether leave() was called and the current view no longer lists this daemon.
    bool hasLeft() const;

private:
    enum class stage { Serving, Draining, Leaving };

    bool hasExpired(const member &m) const;
    void updateOwnStatus();
    void updatePreparedView();
    const member *ownEntry() const;
    bool isSelf(const member *owner) const;
    std::vector<program_id> programsToRetain() const;
    std::optional<member> nextOwnEntry(time_point now) const;
    bool isJoining() const;
    bool othersArePrepared() const;
    std::optional<change_view> nextChange(time_point now) const;
    std::optional<delete_lease> nextLeaseDeletion() const;

    member m_self;
    lease_settings m_settings;
    lease_holder m_holder;
    lease_observer m_observer;
    cell_view m_view;
    time_point m_viewChangedAt = time_point::min();
    /// Version of the view row, if the row was read with a number not above the known view's.
    std::optional<row_version> m_regressedRowVersion;
    bool m_viewRead = false;
    time_point m_viewReadAt = time_point::min();
    bool m_wasMember = false;
    bool m_superseded = false;
    stage m_stage = stage::Serving;
    lease_record m_lease;
    std::set<program_id> m_runningFamilies;
    std::set<daemon_run> m_runsRefusingConnections;
    time_point m_retainedChangedAt = time_point::min();
    /// Number of the view that announced this daemon as joining; 0 if it is not joining.
    fencing_number m_joiningSinceView = 0;
};

} // namespace azurehill
