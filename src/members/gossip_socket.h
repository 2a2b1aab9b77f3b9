#pragma once

#include "members/probe_message.h"
#include "runtime/runtime.h"

#include <functional>

namespace azurehill {

/// \brief Carries messages between daemons as datagrams. Used from one thread.
class gossip_socket
{
public:
    using receiver = std::function<void(const probe_message &, const endpoint &from)>;

    /// \param onMessage called with each message that can be read.
    gossip_socket(const asio::any_io_executor &executor, receiver onMessage);
    ~gossip_socket();
    gossip_socket(const gossip_socket &) = delete;
    gossip_socket &operator=(const gossip_socket &) = delete;

    /// \brief Binds \p address and begins to receive. \returns the port, or 0.
    std::uint16_t listen(const endpoint &address);
    /// \brief Sends without waiting; what can't go out at once is dropped, as any datagram may be.
    void send(const endpoint &peer, const std::string &message);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace azurehill
