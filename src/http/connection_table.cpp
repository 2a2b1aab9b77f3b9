#include "http/connection_table.h"

namespace azurehill {

connection_table::connection_id connection_table::add(int maxConnections, time_point now,
                                                      std::function<void()> close)
{
    const std::lock_guard lock(m_mutex);
    const auto places = static_cast<std::size_t>(maxConnections);
    while (m_connections.size() >= places) {
        if (!makeRoom(now))
            return 0;
    }
    const connection_id id = ++m_lastId;
    entry &added = m_connections[id];
    added.close = std::move(close);
    setWaiting(id, added, true, now);
    return id;
}

void connection_table::remove(connection_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    setWaiting(id, found->second, false, {});
    m_connections.erase(found);
}

void connection_table::beginWait(connection_id id, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        setWaiting(id, found->second, true, now);
}

bool connection_table::endWait(connection_id id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    setWaiting(id, found->second, false, {});
    return true;
}

bool connection_table::closeLongestWaiting(time_point now)
{
    const std::lock_guard lock(m_mutex);
    return makeRoom(now);
}

int connection_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_connections.size());
}

bool connection_table::makeRoom(time_point now)
{
    if (m_waiting.empty() || now - m_waiting.begin()->first < minWait)
        return false;
    const connection_id id = m_waiting.begin()->second;
    const auto found = m_connections.find(id);
    const std::function<void()> close = std::move(found->second.close);
    setWaiting(id, found->second, false, {});
    m_connections.erase(found);
    close();
    return true;
}

void connection_table::setWaiting(connection_id id, entry &connection, bool isWaiting,
                                  time_point since)
{
    if (connection.isWaiting)
        m_waiting.erase({connection.waitsSince, id});
    connection.isWaiting = isWaiting;
    connection.waitsSince = since;
    if (isWaiting)
        m_waiting.emplace(since, id);
}

} // namespace azurehill
