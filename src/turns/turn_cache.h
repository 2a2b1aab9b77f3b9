#pragma once

#include "turns/turn.h"

#include <list>
#include <unordered_map>

namespace azurehill {

/// \brief LRU cache of turns that this daemon answered or read recently. The store holds all turns.
///
/// A turn keeps those before it in its chain, cached or not, so the limit is on the turns that are
/// alive: an evicted one counts until its last successor is evicted.
class turn_cache
{
public:
    /// \param maxBytes limit on the memory of the cached turns. The newest turn is always kept.
    explicit turn_cache(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// \returns the turn, or null. Marks it as used.
    turn_ptr find(const turn_id &id);
    void insert(const turn_ptr &t, time_point until);
    /// \brief Evicts the turns whose retention time is over at \p now.
    void expire(time_point now);
    /// \brief Sets the limit on the memory of the cached turns.
    void setMaxBytes(std::size_t maxBytes) { m_maxBytes = maxBytes; }
    /// \returns the memory of the cached turns and of those before them in their chains.
    std::size_t bytes() const { return *m_liveBytes; }

private:
    struct entry
    {
        turn_ptr value;
        time_point retainUntil;
        std::list<turn_id>::iterator lruPosition;
    };

    class live_turn;

    void erase(std::unordered_map<turn_id, entry>::iterator it);

    std::size_t m_maxBytes;
    std::shared_ptr<std::size_t> m_liveBytes = std::make_shared<std::size_t>(0);
    std::unordered_map<turn_id, entry> m_entries;
    /// Ids in order of last use, the least recently used first.
    std::list<turn_id> m_lruOrder;
};

} // namespace azurehill
