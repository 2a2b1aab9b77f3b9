#pragma once

#include "http/http_client.h"

#include <map>
#include <vector>

namespace azurehill {

/// \brief Keeps idle client connections for their next request. Used from one thread.
class connection_pool
{
public:
    /// \param maxIdle longest time that a connection may lie idle. A connection can die without a
    /// word while new ones work: the bound makes that rare.
    /// \param maxPerPeer idle connections kept to one peer.
    connection_pool(asio::any_io_executor executor, duration maxIdle, std::size_t maxPerPeer);

    /// \returns an idle connection to \p peer that looks alive, or one that is not connected yet.
    http_connection take(const endpoint &peer, time_point now);
    /// \brief Keeps \p connection for another request if it can take one.
    void give(const endpoint &peer, http_connection connection, time_point now);
    /// \returns the same, unless all idle ones have been idle for longer than \p maxIdleTime.
    http_connection take(const endpoint &peer, time_point now, duration maxIdleTime);
    /// \brief Closes the connections that have been idle for too long.
    void expire(time_point now);
    /// \brief Closes the idle connections to \p peer.
    void drop(const endpoint &peer);
    /// \returns the number of idle connections.
    std::size_t idle() const;

private:
    struct idle_connection
    {
        http_connection connection;
        time_point since;
        time_point until;
    };

    asio::any_io_executor m_executor;
    duration m_maxIdle;
    std::size_t m_maxPerPeer;
    std::map<endpoint, std::vector<idle_connection>> m_idle;
};

} // namespace azurehill
