#pragma once

#include "http/http_client.h"

#include <limits>
#include <map>
#include <vector>

namespace azurehill {

/// \brief Pool of idle keep-alive client connections, by peer. Not thread-safe: use it from one
/// thread.
class connection_pool
{
public:
    /// \param maxIdle maximum idle time of a connection. A connection can be lost without a FIN or
    /// RST while new connections to the peer work; the bound makes reuse of such a connection rare.
    /// \param maxPerPeer maximum number of idle connections kept per peer.
    connection_pool(asio::any_io_executor executor, duration maxIdle, std::size_t maxPerPeer);

    /// \returns an idle connection to \p peer that is still reusable, or one that is not connected
    /// yet.
    http_connection take(const endpoint &peer, time_point now);
    /// \brief Returns \p connection to the pool. Closes it instead if it is not reusable or the
    /// pool already holds maxPerPeer connections to \p peer.
    void give(const endpoint &peer, http_connection connection, time_point now);
    /// \brief Like take(peer, now), but reuses only connections idle for at most \p maxIdleTime.
    http_connection take(const endpoint &peer, time_point now, duration maxIdleTime);
    /// \returns whether take() with the same arguments would reuse a connection, as far as is known
    /// without checking its socket.
    bool hasIdle(const endpoint &peer, time_point now, duration maxIdleTime) const;
    /// \brief Closes the connections whose idle timeout has passed.
    void expire(time_point now);
    /// \brief Closes the idle connections to \p peer.
    void drop(const endpoint &peer);
    /// \brief Sets the number of idle connections to all peers together; the one idle for longest
    /// is closed beyond it.
    void setMaxIdle(std::size_t count) { m_maxTotal = count; }
    /// \returns the number of idle connections.
    std::size_t idle() const;

private:
    struct idle_connection
    {
        http_connection connection;
        time_point since;
        time_point until;
    };

    void closeLongestIdle();

    asio::any_io_executor m_executor;
    duration m_maxIdle;
    std::size_t m_maxPerPeer;
    std::size_t m_maxTotal = std::numeric_limits<std::size_t>::max();
    std::map<endpoint, std::vector<idle_connection>> m_idle;
};

} // namespace azurehill
