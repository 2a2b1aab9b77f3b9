#pragma once

#include "members/member_state.h"
#include "runtime/runtime.h"

#include <functional>

namespace azurehill {

/// \brief Carries states of members as datagrams. Used from one thread.
class gossip_socket
{
public:
    using receiver = std::function<void(const std::vector<member_state> &)>;

    /// \param onStates called with each message that can be read.
    gossip_socket(const asio::any_io_executor &executor, receiver onStates);
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
