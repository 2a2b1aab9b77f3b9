#pragma once

#include "turns/turn.h"

#include <list>
#include <unordered_map>

namespace azurehill {

/// \brief LRU cache of turns that this daemon answered or read recently. The store holds all turns.
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
    std::size_t bytes() const { return m_bytes; }

private:
    struct entry
    {
        turn_ptr value;
        time_point retainUntil;
        std::list<turn_id>::iterator lruPosition;
    };

    void erase(std::unordered_map<turn_id, entry>::iterator it);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<turn_id, entry> m_entries;
    /// Ids in order of last use, the least recently used first.
    std::list<turn_id> m_lruOrder;
};

} // namespace azurehill
