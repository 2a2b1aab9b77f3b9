#include "turns/turn_cache.h"

namespace azurehill {

namespace {

/// What a turn takes beside its texts: ids, map nodes, the shared pointer.
constexpr std::size_t overheadBytes = 512;

std::size_t sizeOf(const turn &t)
{
    return t.input.size() + t.output.size() + overheadBytes;
}

} // namespace

turn_ptr turn_cache::find(const turn_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return nullptr;
    m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second.age);
    return found->second.value;
}

void turn_cache::insert(const turn_ptr &t, time_point until)
{
    if (const auto old = m_entries.find(t->id); old != m_entries.end())
        erase(old);
    m_lruOrder.push_back(t->id);
    m_entries[t->id] = {t, until, std::prev(m_lruOrder.end())};
    m_bytes += sizeOf(*t);
    while (m_bytes > m_maxBytes && m_entries.size() > 1)
        erase(m_entries.find(m_lruOrder.front()));
}

void turn_cache::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto next = std::next(it);
        if (it->second.until <= now)
            erase(it);
        it = next;
    }
}

void turn_cache::erase(std::unordered_map<turn_id, entry>::iterator it)
{
    m_bytes -= sizeOf(*it->second.value);
    m_lruOrder.erase(it->second.age);
    m_entries.erase(it);
}

} // namespace azurehill
