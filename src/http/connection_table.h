#pragma once

#include "core/runtime_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace azurehill {

/// \brief The open connections of a server and, of those that wait for a request, since when.
/// Thread-safe.
///
/// When all places are taken, the connection that has waited longest makes way for a new one.
class connection_table
{
public:
    using connection_id = std::uint64_t;

    /// Minimum wait of a connection that makes way for another: a client that has just connected
    /// is about to send its request.
    static constexpr duration minWait = seconds(1);

    /// \brief Adds a connection, which waits for its first request.
    /// \param maxConnections number of places.
    /// \param close closes the connection; called on any thread, must not use this table.
    /// \returns its id, or 0 if all places are taken and none can be made free.
    connection_id add(int maxConnections, time_point now, std::function<void()> close);
    void remove(connection_id id);
    /// \brief The connection waits for a request, or for the rest of one, from \p now on.
    void beginWait(connection_id id, time_point now);
    /// \brief The connection has a whole request, which is to be answered.
    /// \returns false if the connection has made way for another and is about to be closed.
    bool endWait(connection_id id);
    /// \brief Closes the connection that has waited longest, if any has waited for minWait.
    /// \returns whether there was one.
    bool closeLongestWaiting(time_point now);
    int size() const;

private:
    struct entry
    {
        std::function<void()> close;
        time_point waitsSince;
        bool isWaiting = false;
    };

    bool makeRoom(time_point now);
    void setWaiting(connection_id id, entry &connection, bool isWaiting, time_point since);

    mutable std::mutex m_mutex;
    connection_id m_lastId = 0;
    std::map<connection_id, entry> m_connections;
    /// Those that wait, by the beginning of their wait.
    std::set<std::pair<time_point, connection_id>> m_waiting;
};

} // namespace azurehill
