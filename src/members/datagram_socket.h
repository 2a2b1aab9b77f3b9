#pragma once

#include "http/http_message.h"
#include "runtime/runtime.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief UDP socket for messages between daemons. Used from one thread.
class datagram_socket
{
public:
    using receiver = std::function<void(std::string_view text, const endpoint &from)>;

    /// \param purpose label under which the traffic is metered.
    /// \param onText called with each received datagram.
    datagram_socket(const asio::any_io_executor &executor, std::string purpose, receiver onText);
    ~datagram_socket();
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// \brief Binds \p address and starts receiving. \returns the bound port, or 0 on failure.
    std::uint16_t listen(const endpoint &address);
    /// \brief Sends without blocking. A datagram that can't be sent immediately is dropped.
    void send(const endpoint &peer, const std::string &text);

private:
    struct state;
    static awaitable<void> receiveAll(std::shared_ptr<state> s);

    std::shared_ptr<state> m_state;
};

} // namespace azurehill
