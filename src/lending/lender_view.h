#pragma once

#include "members/member_state.h"
#include "quota/quota.h"

namespace azurehill {

/// \brief The daemons that live, as far as lending is concerned.
class lender_view
{
public:
    /// \brief Takes in this daemon's word of itself and the others that live.
    void set(member_state self, std::vector<member_state> others);

    const member_state &self() const { return m_self; }
    /// \returns the daemon called \p name, this one included, or null.
    const member_state *find(const daemon_id &name) const;
    /// \returns the daemon that should hold \p shard.
    daemon_id preferred(std::size_t shard) const;
    /// \returns what is known of the holder that \p row names.
    holder_state stateOf(const quota_row &row) const;
    /// \returns whether there are enough words of others to tell who is silent.
    bool isSettled(time_point now) const;

private:
    member_state m_self;
    std::vector<member_state> m_others;
    /// The daemons that may hold a shard.
    std::vector<daemon_id> m_candidates;
    std::optional<time_point> m_firstSetAt;
};

/// \returns where \p member receives datagrams on credits: beside those on members.
endpoint lendingAddress(const member_state &member);

} // namespace azurehill
