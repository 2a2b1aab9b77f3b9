#include "http/http_server.h"

#include "core/log.h"
#include "http/connection_table.h"
#include "http/problem.h"
#include "http/request_reader.h"
#include "http/server_writer.h"
#include "runtime/spawn.h"
#include "runtime/timer.h"

#include <boost/asio/redirect_error.hpp>

namespace azurehill {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

struct http_server::state
{
    state(asio::any_io_executor e, http_limits l, request_handler h,
          std::shared_ptr<memory_account> m)
        : executor(std::move(e)), limits(l), handler(std::move(h)), memory(std::move(m)),
          acceptor(asio::make_strand(executor))
    { }

    static constexpr int closedMark = -1;

    /// \brief Counts one more request in progress. \returns false if the server is closed, or has
    /// too many.
    bool tryBegin()
    {
        int count = inProgress;
        while (count != closedMark && count < limits.maxRequests) {
            if (inProgress.compare_exchange_weak(count, count + 1))
                return true;
        }
        return false;
    }
    bool isClosed() const { return inProgress == closedMark; }

    asio::any_io_executor executor;
    http_limits limits;
    request_handler handler;
    std::shared_ptr<memory_account> memory;
    connection_table table;
    /// Runs on a strand, since stopAccepting() may be called from another thread than the accept
    /// loop's.
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<bool> announcingClose{false};
    std::atomic<int> connections{0};
    std::atomic<int> refusing{0};
    /// Requests in progress, or closedMark.
    std::atomic<int> inProgress{0};
};

namespace {

constexpr duration refusalTimeout = seconds(1);
constexpr duration overloadRetryAfter = seconds(1);

problem busy(std::string title)
{
    return {503, "busy", std::move(title), "", outcome::DidNotRun, overloadRetryAfter};
}

problem problemOf(read_result result, beast::error_code code)
{
    namespace http = beast::http;
    if (result == read_result::RequestTimeout)
        return {408, "request-timeout", "The request came too slowly", "", outcome::DidNotRun, {}};
    if (result == read_result::NoMemory)
        return busy("The daemon holds too much for its connections");
    if (result == read_result::LineTooLarge) {
        return {431, "header-too-large", "A chunk line or the trailer is too large",
                "",  outcome::DidNotRun, {}};
    }
    if (code == http::error::body_limit)
        return {413, "body-too-large", "The body is too large", "", outcome::DidNotRun, {}};
    if (code == http::error::header_limit)
        return {431, "header-too-large", "The header is too large", "", outcome::DidNotRun, {}};
    return {400, "malformed-request", "Not HTTP/1.1", code.message(), outcome::DidNotRun, {}};
}

problem tooManyConnections()
{
    return {503, "too-many-connections", "The daemon has too many connections",
            "",  outcome::DidNotRun,     overloadRetryAfter};
}

problem serverClosed()
{
    return {503, "shutting-down",    "The daemon is shutting down",
            "",  outcome::DidNotRun, duration::zero()};
}

/// \brief One connection of a server, with its account. Used on its own strand, except for the
/// requests to free what it holds.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<http_server::state> owner, tcp::socket raw)
        : server(std::move(owner)), socket(std::move(raw)),
          holder(*server->memory, [this] { cancelRead(); })
    {
        ++server->connections;
    }
    ~connection()
    {
        server->table.remove(id);
        --server->connections;
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// \brief Takes a place among the connections of the server.
    /// \returns false if none is free, or the process holds too much.
    bool takePlace()
    {
        if (!holder.tryResize(connection_cost::idleBytes))
            return false;
        id = server->table.add(server->limits.maxConnections, runtime_clock::now(),
                               [this] { close(); });
        return id != 0;
    }

    std::shared_ptr<http_server::state> server;
    timed_socket socket;
    beast::flat_buffer buffer;
    memory_account::holder holder;
    connection_table::connection_id id = 0;

private:
    /// \brief Ends the read in progress, whose reader then sees that the holder is revoked.
    void cancelRead()
    {
        asio::post(socket.socket.get_executor(), [weak = weak_from_this()] {
            beast::error_code ignored;
            if (const auto self = weak.lock())
                self->socket.socket.cancel(ignored);
        });
    }

    void close()
    {
        asio::post(socket.socket.get_executor(), [weak = weak_from_this()] {
            beast::error_code ignored;
            if (const auto self = weak.lock())
                self->socket.socket.close(ignored);
        });
    }
};

using connection_ptr = std::shared_ptr<connection>;

/// \brief Answers a request that counts as in progress, until it no longer does.
/// \returns whether the connection is kept alive.
awaitable<bool> answer(connection_ptr self, request_reader &reader)
{
    http_server::state &server = *self->server;
    timed_socket &socket = self->socket;
    const bool knowsChunks = reader.knowsChunks();
    server_writer writer(socket, reader.keepsAlive(), reader.isHeadRequest(),
                         server.limits.writeTimeout);
    writer.setHolder(self->holder, reader.cost().total());
    writer.setCloseRequested([&server] { return server.stopping || server.announcingClose; });
    if (!knowsChunks)
        writer.setStreamFraming(body_framing::Connection);
    bool failed = false;
    try {
        const http_request request = reader.takeRequest();
        co_await server.handler(request, writer);
    } catch (const std::exception &e) {
        logEvent(log_level::Error, "handler_failed", {{"detail", std::string(e.what())}});
        failed = true;
    }
    if (failed && !writer.responseStarted()) {
        const problem p{500, "internal-error", "The daemon failed", "", outcome::Unknown, {}};
        http_response reply = toResponse(p);
        co_await writer.write(std::move(reply));
    }
    socket.stopWatchingForDisconnect();
    if (!knowsChunks && !writer.finished()) {
        beast::error_code ignored;
        socket.socket.close(ignored);
    }
    --server.inProgress;
    co_return writer.keepsAlive() && writer.finished();
}

/// \brief Waits until the client sends something.
/// \returns false if the connection has ended, or was idle for too long.
awaitable<bool> awaitRequest(connection_ptr self)
{
    if (self->buffer.size() > 0)
        co_return true;
    beast::error_code code;
    self->socket.startReadTimeout(self->server->limits.idleTimeout);
    co_await self->socket.socket.async_wait(tcp::socket::wait_read,
                                            asio::redirect_error(use_awaitable, code));
    self->socket.stopTimeout();
    co_return !code;
}

/// \brief Reads and answers one request; refuses it if the server has closed in the meantime.
/// \returns whether the connection is kept alive.
awaitable<bool> serveRequest(connection_ptr self)
{
    http_server::state &server = *self->server;
    const bool hasBegun = co_await awaitRequest(self);
    if (!hasBegun)
        co_return false;
    self->holder.setRevocable(true);
    self->socket.startReadTimeout(server.limits.requestTimeout);
    std::optional<request_reader> reader;
    reader.emplace(self->socket, self->buffer, server.limits, self->holder);
    const read_result result = co_await reader->read();
    self->socket.stopTimeout();
    self->holder.setRevocable(false);
    if (result == read_result::PeerClosed)
        co_return false;
    const bool isComplete = result == read_result::Complete && !self->holder.isRevoked();
    // A request that arrives while its connection makes way must not be begun: its answer would be
    // cut off.
    if (isComplete && !server.table.endWait(self->id))
        co_return false;
    if (isComplete && server.tryBegin())
        co_return co_await answer(self, *reader);
    problem refusal = problemOf(result, reader->error());
    if (result == read_result::Complete)
        refusal = server.isClosed() ? serverClosed() : busy("The daemon has too many requests");
    // Nothing of the request is kept while its client reads the refusal.
    reader.reset();
    self->buffer = beast::flat_buffer();
    self->holder.tryResize(connection_cost::idleBytes);
    server_writer writer(self->socket, false, false, server.limits.writeTimeout);
    http_response reply = toResponse(refusal);
    if (co_await writer.write(std::move(reply)))
        co_await self->socket.linger();
    co_return false;
}

awaitable<void> serveConnection(connection_ptr self)
{
    bool isKept = co_await serveRequest(self);
    while (isKept) {
        // Frees the buffer of the last request, so that idle connections hold no memory.
        if (self->buffer.size() == 0)
            self->buffer = beast::flat_buffer();
        self->holder.tryResize(connection_cost::idleBytes
                               + static_cast<std::int64_t>(self->buffer.capacity()));
        self->server->table.beginWait(self->id, runtime_clock::now());
        isKept = co_await serveRequest(self);
    }
    beast::error_code ignored;
    self->socket.socket.shutdown(tcp::socket::shutdown_send, ignored);
}

/// \brief Answers a connection over the limit with 503 and Retry-After, and closes it.
awaitable<void> refuseConnection(std::shared_ptr<http_server::state> server, connection_ptr self)
{
    server_writer writer(self->socket, false, false, refusalTimeout);
    http_response reply = toResponse(tooManyConnections());
    if (co_await writer.write(std::move(reply)))
        co_await self->socket.linger();
    --server->refusing;
}

void acceptConnection(const std::shared_ptr<http_server::state> &server, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto executor = socket.get_executor();
    auto accepted = std::make_shared<connection>(server, std::move(socket));
    if (accepted->takePlace()) {
        spawn(executor, "serveConnection", serveConnection(std::move(accepted)));
    } else if (server->refusing < server->limits.maxConcurrentRefusals) {
        ++server->refusing;
        spawn(executor, "refuseConnection", refuseConnection(server, std::move(accepted)));
    }
    // Otherwise the socket is closed here, before any part of a request has been read.
}

awaitable<void> acceptAll(std::shared_ptr<http_server::state> server)
{
    while (!server->stopping) {
        beast::error_code code;
        tcp::socket socket = co_await server->acceptor.async_accept(
            asio::make_strand(server->executor), asio::redirect_error(use_awaitable, code));
        if (code == asio::error::operation_aborted || !server->acceptor.is_open())
            co_return;
        if (code) {
            // Most likely out of file descriptors.
            server->table.closeLongestWaiting(runtime_clock::now());
            co_await sleepFor(milliseconds(50));
            continue;
        }
        acceptConnection(server, std::move(socket));
    }
}

/// \returns an account for a server alone, in which the bodies have \c maxTotalBodyBytes.
std::shared_ptr<memory_account> ownAccount(const http_limits &limits)
{
    connection_cost bodies;
    bodies.bodyBytes = static_cast<std::uint64_t>(limits.maxTotalBodyBytes);
    return std::make_shared<memory_account>(bodies.total());
}

} // namespace

http_server::http_server(asio::any_io_executor executor, http_limits limits,
                         request_handler handler, std::shared_ptr<memory_account> memory)
    : m_state(std::make_shared<state>(std::move(executor), limits, std::move(handler),
                                      memory ? std::move(memory) : ownAccount(limits)))
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
    // Connections inherit the size, which has to be known before they are opened.
    if (!code && m_state->limits.receiveBufferBytes > 0)
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(m_state->limits.receiveBufferBytes), code);
    if (!code)
        acceptor.bind(local, code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return 0;
    spawn(acceptor.get_executor(), "acceptAll", acceptAll(m_state));
    return acceptor.local_endpoint().port();
}

void http_server::stopAccepting()
{
    if (m_state->stopping.exchange(true))
        return;
    asio::post(m_state->acceptor.get_executor(), [server = m_state] {
        beast::error_code ignored;
        server->acceptor.close(ignored);
    });
}

void http_server::announceClose()
{
    m_state->announcingClose = true;
}

void http_server::setLimits(const http_limits &limits)
{
    m_state->limits = limits;
}

bool http_server::closeIfIdle()
{
    int count = 0;
    return m_state->inProgress.compare_exchange_strong(count, state::closedMark)
        || count == state::closedMark;
}

int http_server::requestsInProgress() const
{
    return std::max<int>(m_state->inProgress, 0);
}

int http_server::openConnections() const
{
    return m_state->connections;
}

} // namespace azurehill
