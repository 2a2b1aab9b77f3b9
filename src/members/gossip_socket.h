#pragma once

#include "members/datagram_socket.h"
#include "members/probe_message.h"

#include <functional>

namespace azurehill {

/// \brief Sends and receives probe messages as UDP datagrams. Used from one thread.
class gossip_socket
{
public:
    using receiver = std::function<void(const probe_message &, const endpoint &from)>;

    /// \param onMessage called with each message that was decoded; others are logged.
    gossip_socket(const asio::any_io_executor &executor, receiver onMessage);

    /// \brief Binds \p address and starts receiving. \returns the bound port, or 0 on failure.
    std::uint16_t listen(const endpoint &address) { return m_socket.listen(address); }
    /// \brief Sends without blocking. A datagram that can't be sent immediately is dropped.
    void send(const endpoint &peer, const std::string &message) { m_socket.send(peer, message); }

private:
    datagram_socket m_socket;
};

} // namespace azurehill
