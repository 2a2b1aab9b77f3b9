#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief The members of whom there is news to pass on.
///
/// News goes out with messages that are sent anyway, a bounded number of times. What was sent least
/// goes first, so that the newest is everywhere first also while there is much.
class update_queue
{
public:
    /// \brief There is news of \p member; earlier news of it is no more.
    void add(const daemon_id &member);
    /// \returns up to \p most members, and counts their news as sent once more.
    std::vector<daemon_id> take(std::size_t most);
    std::size_t size() const { return m_order.size(); }

private:
    /// Times sent, then the newest first.
    using place = std::tuple<int, std::int64_t, daemon_id>;

    std::set<place> m_order;
    std::map<daemon_id, place> m_places;
    std::int64_t m_newestOrder = 0;
};

} // namespace azurehill
