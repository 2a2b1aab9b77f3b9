#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief Dissemination queue of the gossip protocol: members whose latest update is to be sent.
///
/// Updates are piggybacked on messages, each a bounded number of times. The update with the fewest
/// transmissions goes first, so that new updates spread quickly even when there are many.
class update_queue
{
public:
    /// \brief Queues an update of \p member, in place of an earlier one.
    void add(const daemon_id &member);
    /// \returns up to \p maxCount members, and counts their updates as sent once more.
    std::vector<daemon_id> take(std::size_t maxCount);
    std::size_t size() const { return m_order.size(); }

private:
    /// Number of transmissions, then the newest first.
    using queue_key = std::tuple<int, std::int64_t, daemon_id>;

    std::set<queue_key> m_order;
    std::map<daemon_id, queue_key> m_keys;
    std::int64_t m_newestOrder = 0;
};

} // namespace azurehill
