#pragma once

#include "loopback.h"
#include "replicas/replica_entry.h"

#include <string>

namespace azurehill::test {

/// \brief How a replica ends a connection on which it has answered before it read the request.
enum class early_end {
    /// It resets the connection.
    Reset,
    /// Its process ends, and its host closes the connection with the rest of the request unread.
    Close,
    /// It ends its side in an orderly way, and closes without reading the rest of the request.
    ShutdownAndClose,
    /// It ends its side in an orderly way, and reads no more, but keeps the connection.
    ShutdownAndStay,
    /// It ends its side in an orderly way, and then reads the rest of the request.
    ShutdownAndRead,
    /// It keeps the connection and reads the rest of the request.
    Read
};

/// \brief Replica that answers each request after it has read the beginning of it. Its receive
/// buffer is small, so that a long request can't have been written by then.
class early_replica
{
public:
    /// Size of a request that does not fit into the buffers between a caller and this replica.
    static constexpr std::size_t longRequest = 24U << 20U;

    early_replica(asio::io_context &context, std::string id, std::string service)
        : m_acceptor(context)
    {
        const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind(any);
        m_acceptor.listen();
        entry.incarnation.id = {std::move(id)};
        entry.service = std::move(service);
        entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        entry.dataCentre = {"dc"};
        entry.slots = 8;
        spawn(context.get_executor(), "acceptAll", acceptAll());
    }

    /// \brief Lets the replica end the connections on which it has answered.
    void allowEnd()
    {
        waitsForEnd = false;
        m_changed.notifyAll();
    }

    replica_entry entry;
    /// The answer to all requests; "ID" stands for the request's id.
    std::string answer;
    early_end end = early_end::Reset;
    /// How often the other handlers run between the answer and the end of its connection.
    int turnsBeforeEnd = 0;
    /// Whether connections are ended only after allowEnd().
    bool waitsForEnd = false;
    /// Number of requests that were answered.
    int answered = 0;
    /// Number of connections that were ended as \c end says.
    int ended = 0;

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            boost::system::error_code code;
            co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
            if (code)
                co_return;
            spawn(m_acceptor.get_executor(), "serve", serve(socket));
        }
    }

    awaitable<void> serve(socket_ptr socket)
    {
        boost::system::error_code code;
        std::string head(4096, '\0');
        const std::size_t size = co_await socket->async_read_some(
            asio::buffer(head), asio::redirect_error(use_awaitable, code));
        if (code)
            co_return;
        head.resize(size);
        const std::string reply = replyTo(head);
        co_await asio::async_write(*socket, asio::buffer(reply),
                                   asio::redirect_error(use_awaitable, code));
        ++answered;
        const std::uint64_t seen = m_changed.version();
        if (waitsForEnd)
            co_await m_changed.waitForChangeSince(seen);
        for (int i = 0; i < turnsBeforeEnd; ++i)
            co_await yieldOnce();
        co_await endConnection(socket);
    }

    std::string replyTo(const std::string &head) const
    {
        const std::string_view field = "X-Azurehill-Request-Id: ";
        const std::size_t start = head.find(field);
        std::string reply = answer;
        const std::size_t mark = reply.find(": ID");
        if (start == std::string::npos || mark == std::string::npos)
            return reply;
        const std::size_t value = start + field.size();
        return reply.replace(mark + 2, 2, head.substr(value, head.find('\r', value) - value));
    }

    awaitable<void> endConnection(socket_ptr socket)
    {
        boost::system::error_code code;
        const bool shutsDown = end == early_end::ShutdownAndClose
            || end == early_end::ShutdownAndStay || end == early_end::ShutdownAndRead;
        if (end == early_end::Reset)
            socket->set_option(asio::socket_base::linger(true, 0), code);
        if (shutsDown)
            socket->shutdown(asio::ip::tcp::socket::shutdown_send, code);
        if (end == early_end::ShutdownAndRead || end == early_end::Read)
            co_await readToEnd(socket);
        if (end == early_end::ShutdownAndStay)
            m_kept.push_back(socket);
        else
            socket->close(code);
        ++ended;
    }

    static awaitable<void> readToEnd(socket_ptr socket)
    {
        boost::system::error_code code;
        std::string discarded(64U << 10U, '\0');
        while (!code) {
            co_await socket->async_read_some(asio::buffer(discarded),
                                             asio::redirect_error(use_awaitable, code));
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    notifier m_changed;
    std::vector<socket_ptr> m_kept;
};

} // namespace azurehill::test
