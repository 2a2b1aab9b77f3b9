#pragma once

#include "members/datagram_socket.h"
#include "members/probe_message.h"

#include <functional>

namespace azurehill {

/// \brief Carries messages between daemons as datagrams. Used from one thread.
class gossip_socket
{
public:
    using receiver = std::function<void(const probe_message &, const endpoint &from)>;

    /// \param onMessage called with each message that can be read.
    gossip_socket(const asio::any_io_executor &executor, receiver onMessage);

    /// \brief Binds \p address and begins to receive. \returns the port, or 0.
    std::uint16_t listen(const endpoint &address) { return m_socket.listen(address); }
    /// \brief Sends without waiting; what can't go out at once is dropped, as any datagram may be.
    void send(const endpoint &peer, const std::string &message) { m_socket.send(peer, message); }

private:
    datagram_socket m_socket;
};

} // namespace azurehill
