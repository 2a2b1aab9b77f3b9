#pragma once

#include "loopback.h"
#include "replicas/replica_entry.h"

#include <fmt/format.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace azurehill::test {

/// \brief Replica that replays the responses that a test wrote for it, byte for byte.
class scripted_replica
{
public:
    scripted_replica(asio::io_context &context, std::string id, std::string service)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        entry.incarnation.id = {std::move(id)};
        entry.service = std::move(service);
        entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        entry.dataCentre = {"dc"};
        entry.slots = 8;
        spawn(context.get_executor(), "acceptAll", acceptAll());
    }

    /// Responses to the requests, in order; "ID" stands for the request's id. When none is left,
    /// the replica answers successfully. An empty response closes the connection, "<close>" at the
    /// end closes it after what precedes, "<reset>" resets it; at "<pause>" the replica is silent
    /// for a while.
    std::deque<std::string> script;
    /// Called before a scripted response is sent.
    std::function<void()> onReply;
    /// Number of connections that were opened to the replica.
    int connections = 0;
    /// Requests that arrived, head and body.
    std::vector<std::string> arrived;
    replica_entry entry;

    static constexpr std::string_view pauseMark = "<pause>";
    /// How long the replica is silent at "<pause>".
    static constexpr duration silence = milliseconds(1700);

    /// \brief Stops accepting connections, as a replica does whose host has lost power.
    void closeAcceptor() { m_acceptor.close(); }

    /// \returns a complete successful response with \p body.
    static std::string good(const std::string &body)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body);
    }
    /// \returns a complete stream of \p events.
    static std::string stream(int events)
    {
        std::string text = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
        for (int i = 1; i <= events; ++i) {
            const std::string event = fmt::format("id: {}\ndata: e{}\n\n", i, i);
            text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        return text + "0\r\n\r\n";
    }

private:
    awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            boost::system::error_code code;
            co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
            if (code)
                co_return;
            ++connections;
            spawn(m_acceptor.get_executor(), "serve", serve(socket));
        }
    }

    awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket)
    {
        std::string buffer;
        while (true) {
            std::string request = co_await readRequest(*socket, buffer);
            if (request.empty())
                co_return;
            arrived.push_back(request);
            std::string reply = good("ok");
            if (!script.empty()) {
                reply = script.front();
                script.pop_front();
                if (onReply)
                    onReply();
            }
            if (reply.empty())
                co_return;
            const std::string id = fieldValue(request, "X-Azurehill-Request-Id: ");
            for (std::size_t at = reply.find(": ID"); at != std::string::npos;
                 at = reply.find(": ID", at + 1))
                reply.replace(at + 2, 2, id);
            const bool resetsConnection = takeMark(reply, "<reset>");
            const bool endsConnection = takeMark(reply, "<close>") || resetsConnection;
            const std::size_t pauseAt = std::min(reply.find(pauseMark), reply.size());
            co_await write(*socket, reply.substr(0, pauseAt));
            if (pauseAt < reply.size()) {
                co_await sleepFor(silence);
                co_await write(*socket, reply.substr(pauseAt + pauseMark.size()));
            }
            if (resetsConnection) {
                socket->set_option(asio::socket_base::linger(true, 0));
                socket->close();
            }
            if (endsConnection)
                co_return;
        }
    }

    /// \brief Removes \p mark from the end of \p reply. \returns whether it was there.
    static bool takeMark(std::string &reply, std::string_view mark)
    {
        const bool isThere = reply.ends_with(mark);
        if (isThere)
            reply.resize(reply.size() - mark.size());
        return isThere;
    }

    static awaitable<void> write(asio::ip::tcp::socket &socket, std::string bytes)
    {
        boost::system::error_code code;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(use_awaitable, code));
    }

    static std::string fieldValue(const std::string &request, const std::string &field)
    {
        const std::size_t start = request.find(field);
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + field.size();
        return request.substr(value, request.find('\r', value) - value);
    }

    static awaitable<std::string> readRequest(asio::ip::tcp::socket &socket, std::string &buffer)
    {
        while (true) {
            const std::size_t head = buffer.find("\r\n\r\n");
            if (head != std::string::npos) {
                const std::string length = fieldValue(buffer, "Content-Length: ");
                const std::size_t size = head + 4 + (length.empty() ? 0 : std::stoul(length));
                if (buffer.size() >= size) {
                    const std::string request = buffer.substr(0, size);
                    buffer.erase(0, size);
                    co_return request;
                }
            }
            std::string piece(4096, '\0');
            boost::system::error_code code;
            const std::size_t n = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(use_awaitable, code));
            if (code)
                co_return std::string();
            buffer.append(piece, 0, n);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
};

using exchange_result = tl::expected<http_response, http_error>;

/// \returns the result of an exchange whose response is \p bytes, as a script has them.
inline exchange_result exchangeWith(std::string bytes)
{
    asio::io_context context;
    scripted_replica peer(context, "peer", "peer");
    peer.script = {std::move(bytes)};
    exchange_result result;
    auto go = [&]() -> awaitable<void> {
        http_request request;
        result = co_await exchangeOnce(peer.entry.address, std::move(request),
                                       runtime_clock::now() + seconds(5));
    };
    runIn(context, go());
    return result;
}

} // namespace azurehill::test
