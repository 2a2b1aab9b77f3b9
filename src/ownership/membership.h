#pragma once

#include "ownership/cell_view.h"
#include "ownership/lease.h"

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Asks for one write of the lease row.
struct renew_lease
{
    lease_record lease;
};

/// \brief A condition on another daemon's lease row: it is as it was read.
struct lease_check
{
    daemon_id daemon;
    row_version version = 0;
};

/// \brief Asks for a conditional write of the view: it must still have version \c expected.
struct change_view
{
    row_version expected = 0;
    cell_view next;
    /// Leases of the members that go. A daemon that woke and renewed in the meantime stays.
    std::vector<lease_check> checks;
    /// Lease rows that go with their members.
    std::vector<daemon_id> leasesToDelete;
};

/// \brief Asks to delete the lease row of a daemon that is no member, if it is as it was read.
struct delete_lease
{
    lease_check lease;
};

using membership_action = std::variant<change_view, delete_lease>;

/// \brief Decides, for one daemon, when to renew its lease and when to change the cell's view.
///
/// Reads of the view and of the leases come in, writes go out as actions; nothing blocks.
class membership
{
public:
    membership(member self, lease_settings settings);

    /// \brief Takes in a read of the view. Older views than the known one are dropped: a late
    /// answer must not bring an old owner back.
    /// \param view the row, or an empty view when there was none.
    /// \returns whether the view changed.
    bool onView(const cell_view &view, time_point now);
    /// \brief Takes in all leases of the cell, by a read sent at \p sentAt.
    void onLeases(const std::vector<lease_record> &leases, time_point sentAt, time_point now);
    /// \brief Notes that the renewal sent at \p sentAt took effect.
    void onRenewed(time_point sentAt);
    /// \brief Notes that the programs gained by view \p number are loaded.
    void onProgramsLoaded(fencing_number number);
    /// \brief Tells which families have a running call, before each poll. Those that a join or a
    /// drain would move stay here until their calls have ended.
    void setRunning(std::set<program_id> roots);
    /// \brief Tells which runs refuse connections, as seen by two observers. They are removed
    /// before their lease has lapsed, if they also missed a renewal.
    void setRunsRefusingConnections(std::set<daemon_run> runs);
    /// \brief Leaves the look-ups with the next change of the view; what does not run moves.
    void drain();
    /// \brief Leaves the members with the next change of the view.
    void leave();

    /// \returns the renewal that is due at \p now.
    std::optional<renew_lease> pollLease(time_point now);
    /// \returns what to do at \p now.
    std::vector<membership_action> poll(time_point now);

    const cell_view &view() const { return m_view; }
    const member &self() const { return m_self; }
    /// \returns whether this daemon may act as an owner at \p now.
    bool isActive(time_point now) const;
    /// \returns whether \p program is this daemon's and no change under way moves it. Only then may
    /// a call begin, unless its family has a running call.
    bool ownsWithoutPendingMove(const program_id &program) const;
    /// \returns whether a drain has nothing left to hand over.
    bool isDrained() const;
    /// \returns whether another run under the same name took this daemon's place. It must stop:
    /// two that take the place from each other would move all programs to and fro.
    bool isSuperseded() const { return m_superseded; }
    /// \returns whether the view in force has no trace of this daemon after leave().
    bool hasLeft() const;

private:
    enum class stage { Serving, Draining, Leaving };

    bool hasExpired(const member &m) const;
    void updateOwnStatus();
    void updatePreparedView();
    const member *ownEntry() const;
    bool isMine(const member *owner) const;
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
    /// Version of a row with an older number than the known view's.
    std::optional<row_version> m_regressedRowVersion;
    bool m_viewRead = false;
    time_point m_viewReadAt = time_point::min();
    bool m_wasMember = false;
    bool m_superseded = false;
    stage m_stage = stage::Serving;
    lease_record m_lease;
    std::set<program_id> m_running;
    std::set<daemon_run> m_runsRefusingConnections;
    time_point m_retainedChangedAt = time_point::min();
    /// Number of the view that announced this daemon as joining.
    fencing_number m_joiningSinceView = 0;
};

} // namespace azurehill
