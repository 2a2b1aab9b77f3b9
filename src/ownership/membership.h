#pragma once

#include "ownership/cell_view.h"
#include "ownership/lease.h"

#include <optional>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Asks for one write of the lease row.
struct renew_lease
{
    lease_record lease;
};

/// \brief Asks for a conditional write of the view: it must still have version \c expected.
struct change_view
{
    row_version expected = 0;
    cell_view next;
};

using membership_action = std::variant<renew_lease, change_view>;

/// \brief Decides, for one daemon, when to renew its lease and when to change the cell's view.
///
/// Reads of the view and of the leases come in, writes go out as actions; nothing blocks.
class membership
{
public:
    membership(member self, lease_settings settings);

    /// \brief Takes in a read of the view. Older views than the known one are dropped: a late
    /// answer must not bring an old owner back.
    /// \returns whether the view changed.
    bool onView(const cell_view &view, time_point now);
    /// \brief Takes in leases as read at \p now.
    void onLeases(const std::vector<lease_record> &leases, time_point now);
    /// \brief Notes that the renewal sent at \p sentAt took effect.
    void onRenewed(time_point sentAt);
    /// \brief Notes that the programs gained by view \p number are loaded.
    void onLoaded(fencing_number number);
    /// \brief Leaves the owners with the next change of the view; programs move to others.
    void drain();

    /// \returns what to do at \p now.
    std::vector<membership_action> poll(time_point now);

    const cell_view &view() const { return m_view; }
    const member &self() const { return m_self; }
    /// \returns whether this daemon may act as an owner at \p now.
    bool isActive(time_point now) const;

private:
    std::optional<cell_view> nextView(time_point now) const;

    member m_self;
    lease_settings m_settings;
    lease_holder m_holder;
    lease_observer m_observer;
    cell_view m_view;
    bool m_viewRead = false;
    lease_record m_lease;
};

} // namespace azurehill
