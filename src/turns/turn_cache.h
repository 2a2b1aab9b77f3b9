#pragma once

#include "turns/turn.h"

#include <list>
#include <unordered_map>

namespace azurehill {

/// \brief Turns that this daemon answered or read lately. What it lacks is in the store.
class turn_cache
{
public:
    /// \param maxBytes bound on the texts of the turns that are kept.
    explicit turn_cache(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// \returns the turn, or null.
    turn_ptr find(const turn_id &id);
    void insert(const turn_ptr &t, time_point until);
    /// \brief Forgets what nobody may continue from any more.
    void expire(time_point now);
    std::size_t bytes() const { return m_bytes; }

private:
    struct entry
    {
        turn_ptr value;
        time_point until;
        std::list<turn_id>::iterator age;
    };

    void erase(std::unordered_map<turn_id, entry>::iterator it);

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<turn_id, entry> m_entries;
    /// The one not used for longest at the front.
    std::list<turn_id> m_lruOrder;
};

} // namespace azurehill
