#include "turns/turn_cache.h"

namespace azurehill {

namespace {

/// Memory of a turn besides its texts: ids, map nodes, the shared pointer.
constexpr std::size_t overheadBytes = 512;

std::size_t sizeOf(const turn &t)
{
    return t.input.size() + t.output.size() + overheadBytes;
}

} // namespace

/// \brief Counts the memory of a turn for as long as it is alive.
class turn_cache::live_turn : public turn_memory
{
public:
    live_turn(std::shared_ptr<std::size_t> liveBytes, std::size_t bytes)
        : m_liveBytes(std::move(liveBytes)), m_bytes(bytes)
    {
        *m_liveBytes += m_bytes;
    }
    ~live_turn() override { *m_liveBytes -= m_bytes; }
    live_turn(const live_turn &) = delete;
    live_turn &operator=(const live_turn &) = delete;

private:
    std::shared_ptr<std::size_t> m_liveBytes;
    std::size_t m_bytes;
};

turn_ptr turn_cache::find(const turn_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return nullptr;
    m_lruOrder.splice(m_lruOrder.end(), m_lruOrder, found->second.lruPosition);
    return found->second.value;
}

void turn_cache::insert(const turn_ptr &t, time_point until)
{
    if (const auto old = m_entries.find(t->id); old != m_entries.end())
        erase(old);
    m_lruOrder.push_back(t->id);
    m_entries[t->id] = {t, until, std::prev(m_lruOrder.end())};
    if (!t->memory)
        t->memory = std::make_shared<live_turn>(m_liveBytes, sizeOf(*t));
    while (bytes() > m_maxBytes && m_entries.size() > 1)
        erase(m_entries.find(m_lruOrder.front()));
}

void turn_cache::expire(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto next = std::next(it);
        if (it->second.retainUntil <= now)
            erase(it);
        it = next;
    }
}

void turn_cache::erase(std::unordered_map<turn_id, entry>::iterator it)
{
    m_lruOrder.erase(it->second.lruPosition);
    m_entries.erase(it);
}

} // namespace azurehill
