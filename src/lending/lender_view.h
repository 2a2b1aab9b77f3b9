#pragma once

#include "members/member_state.h"
#include "quota/quota.h"

namespace azurehill {

/// \brief Membership view of the lending of credits: the live daemons, and which of them should
/// hold the quota row of a shard.
class lender_view
{
public:
    /// \brief Sets the state of this daemon and of the other live daemons.
    void set(member_state self, std::vector<member_state> others);

    const member_state &self() const { return m_self; }
    /// \returns the live daemon called \p name, which may be this one, or null.
    const member_state *find(const daemon_id &name) const;
    /// \returns the daemon that should hold \p shard.
    daemon_id preferred(std::size_t shard) const;
    /// \returns the state of the holder of \p row.
    holder_state stateOf(const quota_row &row) const;
    /// \returns whether this daemon has run long enough to treat a holder that is not among the
    /// live daemons as silent.
    bool isSettled(time_point now) const;

private:
    /// \brief Sets the candidates.
    /// \param reachesStore whether they have to reach the store.
    void selectCandidates(bool reachesStore);

    member_state m_self;
    std::vector<member_state> m_others;
    /// The daemons that may hold a shard.
    std::vector<daemon_id> m_candidates;
    std::optional<time_point> m_firstSetAt;
};

/// \returns the address at which \p member receives lending messages: the port after the gossip
/// port.
endpoint lendingAddress(const member_state &member);

} // namespace azurehill
