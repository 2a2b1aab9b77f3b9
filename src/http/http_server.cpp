#include "http/http_server.h"

#include "core/log.h"
#include "http/problem.h"
#include "runtime/deadline_guard.h"
#include "runtime/spawn.h"
#include "runtime/timer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace azurehill {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct http_server::state
{
    state(asio::any_io_executor e, http_limits l, request_handler h)
        : executor(std::move(e)), limits(l), handler(std::move(h)), acceptor(executor)
    { }

    asio::any_io_executor executor;
    http_limits limits;
    request_handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<int> connections{0};
    std::atomic<int> inProgress{0};
};

namespace {

/// \brief A socket whose reads and writes end when their time is over.
class timed_socket
{
public:
    explicit timed_socket(tcp::socket s) : socket(std::move(s)), m_guard(socket.get_executor()) { }

    /// \brief Ends the operation in progress unless finish() comes within \p limit: a peer that
    /// sends or reads slowly would otherwise hold its memory for ever.
    void start(duration limit)
    {
        m_guard.start(runtime_clock::now() + limit, [this] {
            beast::error_code ignored;
            socket.cancel(ignored);
        });
    }
    void finish() { m_guard.finish(); }
    bool expired() const { return m_guard.expired(); }

    tcp::socket socket;

private:
    deadline_guard m_guard;
};

class beast_writer : public response_writer
{
public:
    beast_writer(timed_socket &socket, bool keepAlive, duration writeTime)
        : m_socket(socket), m_keepAlive(keepAlive), m_writeTime(writeTime)
    { }

    awaitable<bool> write(http_response response) override
    {
        http::response<http::string_body> out(static_cast<http::status>(response.status), 11);
        for (const auto &[name, value] : response.headers)
            out.insert(name, value);
        out.keep_alive(m_keepAlive);
        out.body() = std::move(response.body);
        out.prepare_payload();
        beast::error_code code;
        m_socket.start(m_writeTime);
        co_await http::async_write(m_socket.socket, out, asio::redirect_error(use_awaitable, code));
        m_socket.finish();
        m_finished = !code;
        co_return !code;
    }

    awaitable<bool> begin(int status, header_list headers) override
    {
        http::response<http::empty_body> out(static_cast<http::status>(status), 11);
        for (const auto &[name, value] : headers)
            out.insert(name, value);
        out.keep_alive(m_keepAlive);
        out.chunked(true);
        http::response_serializer<http::empty_body> serializer(out);
        beast::error_code code;
        m_socket.start(m_writeTime);
        co_await http::async_write_header(m_socket.socket, serializer,
                                          asio::redirect_error(use_awaitable, code));
        m_socket.finish();
        co_return !code;
    }

    awaitable<bool> writeChunk(std::string_view bytes) override
    {
        if (bytes.empty())
            co_return true;
        const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
        co_return co_await writeBuffers(chunk);
    }

    awaitable<bool> end() override
    {
        m_finished = co_await writeBuffers(http::make_chunk_last());
        co_return m_finished;
    }

    /// \returns whether a whole response went out, so that the connection can go on.
    bool finished() const { return m_finished; }

private:
    template <class Buffers>
    awaitable<bool> writeBuffers(const Buffers &buffers)
    {
        beast::error_code code;
        m_socket.start(m_writeTime);
        co_await asio::async_write(m_socket.socket, buffers,
                                   asio::redirect_error(use_awaitable, code));
        m_socket.finish();
        co_return !code;
    }

    timed_socket &m_socket;
    bool m_keepAlive;
    duration m_writeTime;
    bool m_finished = false;
};

using request_parser = http::request_parser<http::string_body>;

problem problemOf(beast::error_code code, bool expired)
{
    if (expired)
        return {408, "request-timeout", "The request came too slowly", "", outcome::DidNotRun, {}};
    if (code == http::error::body_limit)
        return {413, "body-too-large", "The body is too large", "", outcome::DidNotRun, {}};
    if (code == http::error::header_limit)
        return {431, "header-too-large", "The header is too large", "", outcome::DidNotRun, {}};
    return {400, "malformed-request", "Not HTTP/1.1", code.message(), outcome::DidNotRun, {}};
}

http_request toRequest(http::request<http::string_body> in)
{
    http_request request;
    request.method = std::string(in.method_string());
    request.target = std::string(in.target());
    for (const auto &field : in)
        request.headers.add(field.name_string(), field.value());
    request.body = std::move(in.body());
    return request;
}

/// \returns whether the end of the connection is ordinary and needs no answer.
bool isQuietEnd(beast::error_code code)
{
    return code == http::error::end_of_stream || code == asio::error::connection_reset
        || code == asio::error::eof;
}

awaitable<bool> answer(http_server::state &server, timed_socket &socket,
                       http::request<http::string_body> in);

awaitable<bool> serveOne(http_server::state &server, timed_socket &socket,
                         beast::flat_buffer &buffer)
{
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(server.limits.maxHeaderBytes));
    parser.body_limit(server.limits.maxBodyBytes);
    beast::error_code code;
    if (buffer.size() == 0) {
        socket.start(server.limits.idleTime);
        co_await socket.socket.async_wait(tcp::socket::wait_read,
                                          asio::redirect_error(use_awaitable, code));
        socket.finish();
        if (code)
            co_return false;
    }
    socket.start(server.limits.requestTime);
    co_await http::async_read(socket.socket, buffer, parser,
                              asio::redirect_error(use_awaitable, code));
    socket.finish();
    if (code && isQuietEnd(code))
        co_return false;
    if (code) {
        beast_writer writer(socket, false, server.limits.writeTime);
        co_await writer.write(toResponse(problemOf(code, socket.expired())));
        co_return false;
    }
    co_return co_await answer(server, socket, parser.release());
}

awaitable<bool> answer(http_server::state &server, timed_socket &socket,
                       http::request<http::string_body> in)
{
    const bool keepAlive = in.keep_alive() && !server.stopping;
    beast_writer writer(socket, keepAlive, server.limits.writeTime);
    ++server.inProgress;
    try {
        co_await server.handler(toRequest(std::move(in)), writer);
    } catch (const std::exception &e) {
        logEvent(log_level::Error, "handler_failed", {{"detail", std::string(e.what())}});
    }
    --server.inProgress;
    co_return keepAlive &&writer.finished();
}

awaitable<void> serveConnection(std::shared_ptr<http_server::state> server, tcp::socket raw)
{
    timed_socket socket(std::move(raw));
    beast::flat_buffer buffer;
    while (co_await serveOne(*server, socket, buffer)) { }
    beast::error_code ignored;
    socket.socket.shutdown(tcp::socket::shutdown_send, ignored);
    --server->connections;
}

awaitable<void> acceptAll(std::shared_ptr<http_server::state> server)
{
    while (!server->stopping) {
        beast::error_code code;
        tcp::socket socket = co_await server->acceptor.async_accept(
            asio::make_strand(server->executor), asio::redirect_error(use_awaitable, code));
        if (code == asio::error::operation_aborted)
            co_return;
        if (code) {
            // Out of file descriptors, most likely: wait for some to come back.
            co_await sleepFor(milliseconds(50));
            continue;
        }
        if (server->connections >= server->limits.maxConnections)
            continue; // the socket closes: nothing of a request has been read
        ++server->connections;
        socket.set_option(tcp::no_delay(true), code);
        auto executor = socket.get_executor();
        spawn(executor, "serveConnection", serveConnection(server, std::move(socket)));
    }
}

} // namespace

http_server::http_server(asio::any_io_executor executor, http_limits limits,
                         request_handler handler)
    : m_state(std::make_shared<state>(std::move(executor), limits, std::move(handler)))
{ }

http_server::~http_server()
{
    stopAccepting();
}

std::uint16_t http_server::listen(const endpoint &address)
{
    beast::error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (code)
        return 0;
    const tcp::endpoint local(ip, address.port);
    auto &acceptor = m_state->acceptor;
    acceptor.open(local.protocol(), code);
    if (!code)
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor.bind(local, code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return 0;
    spawn(m_state->executor, "acceptAll", acceptAll(m_state));
    return acceptor.local_endpoint().port();
}

void http_server::stopAccepting()
{
    if (m_state->stopping.exchange(true))
        return;
    asio::post(m_state->executor, [server = m_state] {
        beast::error_code ignored;
        server->acceptor.close(ignored);
    });
}

int http_server::requestsInProgress() const
{
    return m_state->inProgress;
}

} // namespace azurehill
