#include "http/http_server.h"

#include "core/log.h"
#include "http/problem.h"
#include "http/server_writer.h"
#include "http/transfer_coding.h"
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
        : executor(std::move(e)), limits(l), handler(std::move(h)),
          acceptor(asio::make_strand(executor))
    { }

    static constexpr int closedMark = -1;

    /// \brief Counts one more request in progress. \returns false if the server is closed.
    bool tryBegin()
    {
        int count = inProgress;
        while (count != closedMark) {
            if (inProgress.compare_exchange_weak(count, count + 1))
                return true;
        }
        return false;
    }

    asio::any_io_executor executor;
    http_limits limits;
    request_handler handler;
    /// Runs on a strand, since stopAccepting() may be called from another thread than the accept
    /// loop's.
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<bool> announcingClose{false};
    std::atomic<int> connections{0};
    std::atomic<int> refusing{0};
    /// Requests in progress, or closedMark.
    std::atomic<int> inProgress{0};
    std::atomic<std::int64_t> bodyBytes{0};
};

namespace {

using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t readSize = 16U << 10U;
constexpr duration refusalTimeout = seconds(1);
constexpr duration overloadRetryAfter = seconds(1);
/// HTTP/1.1 in the notation of Beast.
constexpr unsigned firstVersionWithChunks = 11;
/// Bodies up to this size don't count towards maxTotalBodyBytes: the header limit already admits
/// memory of this order per connection.
constexpr std::uint64_t maxUncountedBodyBytes = 64U << 10U;

/// \brief RAII reservation of body memory for one request, against the server's maxTotalBodyBytes.
class body_reservation
{
public:
    explicit body_reservation(http_server::state &server) : m_server(server) { }
    ~body_reservation() { m_server.bodyBytes -= m_reservedBytes; }
    body_reservation(const body_reservation &) = delete;
    body_reservation &operator=(const body_reservation &) = delete;

    /// \brief Reserves memory for \p parser's body. A body of unknown length reserves maxBodyBytes.
    /// \returns whether the server's total stays within its limit.
    bool take(const request_parser &parser)
    {
        const auto length = parser.content_length();
        if (!parser.chunked() && length.value_or(0) <= maxUncountedBodyBytes)
            return true;
        m_reservedBytes = static_cast<std::int64_t>(
            length ? std::min<std::uint64_t>(*length, m_server.limits.maxBodyBytes)
                   : m_server.limits.maxBodyBytes);
        return (m_server.bodyBytes += m_reservedBytes) <= m_server.limits.maxTotalBodyBytes;
    }

private:
    http_server::state &m_server;
    std::int64_t m_reservedBytes = 0;
};

/// \brief Result of reading a request. PeerClosed means that the connection was lost, so that no
/// response can be sent.
enum class read_result { Complete, PeerClosed, Malformed, RequestTimeout, NoBodyMemory };

problem problemOf(read_result result, beast::error_code code)
{
    if (result == read_result::RequestTimeout)
        return {408, "request-timeout", "The request came too slowly", "", outcome::DidNotRun, {}};
    if (result == read_result::NoBodyMemory) {
        return {503,
                "busy",
                "The daemon holds too many bodies",
                "",
                outcome::DidNotRun,
                overloadRetryAfter};
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

/// \param fieldCount number of fields in the head. The trailer's fields follow them and are
/// dropped: they would be taken for header fields, which have been validated.
http_request toRequest(http::request<http::string_body> in, std::size_t fieldCount)
{
    http_request request;
    request.method = std::string(in.method_string());
    request.target = std::string(in.target());
    for (const auto &field : in) {
        if (fieldCount-- == 0)
            break;
        request.headers.add(field.name_string(), field.value());
    }
    request.body = std::move(in.body());
    return request;
}

/// \brief Sends the interim response 100 (Continue), for which a client with a large body waits.
awaitable<void> sendContinue(timed_socket &socket)
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    beast::error_code ignored;
    co_await asio::async_write(socket.socket, asio::buffer(interim),
                               asio::redirect_error(use_awaitable, ignored));
}

/// \brief Parses and consumes the contents of \p buffer. Stops once at the end of the head, so that
/// its fields can be counted before those of a trailer are added.
void parseSome(beast::flat_buffer &buffer, request_parser &parser, beast::error_code &code)
{
    const bool headWasDone = parser.is_header_done();
    while (buffer.size() > 0 && !parser.is_done() && parser.is_header_done() == headWasDone) {
        const std::size_t used = parser.put(buffer.data(), code);
        buffer.consume(used);
        if (code == http::error::need_more)
            code = {};
        if (code || used == 0)
            return;
    }
}

awaitable<read_result> readRequest(timed_socket &socket, beast::flat_buffer &buffer,
                                   request_parser &parser, body_reservation &share,
                                   beast::error_code &code, std::size_t &fieldCount)
{
    bool headParsed = false;
    while (true) {
        parseSome(buffer, parser, code);
        if (code)
            co_return read_result::Malformed;
        if (!headParsed && parser.is_header_done()) {
            headParsed = true;
            if (!hasKnownTransferCoding(parser.get())) {
                code = http::error::bad_transfer_encoding;
                co_return read_result::Malformed;
            }
            fieldCount
                = static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
            if (!share.take(parser))
                co_return read_result::NoBodyMemory;
            if (!parser.is_done()
                && beast::iequals(parser.get()[http::field::expect], "100-continue"))
                co_await sendContinue(socket);
            if (!parser.is_done() && buffer.size() > 0)
                continue;
        }
        if (parser.is_done())
            co_return read_result::Complete;
        buffer.commit(co_await socket.socket.async_read_some(
            buffer.prepare(readSize), asio::redirect_error(use_awaitable, code)));
        if (socket.expired())
            co_return read_result::RequestTimeout;
        if (code)
            co_return read_result::PeerClosed;
    }
}

/// \brief Answers a request that counts as in progress, until it no longer does.
awaitable<bool> answer(http_server::state &server, timed_socket &socket,
                       http::request<http::string_body> in, std::size_t fieldCount)
{
    const bool knowsChunks = in.version() >= firstVersionWithChunks;
    const bool keepAlive = knowsChunks && in.keep_alive();
    const bool headOnly = in.method() == http::verb::head;
    server_writer writer(socket, keepAlive, headOnly, server.limits.writeTimeout);
    writer.setCloseRequested([&server] { return server.stopping || server.announcingClose; });
    if (!knowsChunks)
        writer.setStreamFraming(body_framing::Connection);
    bool failed = false;
    try {
        co_await server.handler(toRequest(std::move(in), fieldCount), writer);
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

/// \brief Reads and answers one request; refuses it if the server has closed in the meantime.
/// \returns whether the connection is kept alive.
awaitable<bool> serveRequest(http_server::state &server, timed_socket &socket,
                             beast::flat_buffer &buffer)
{
    beast::error_code code;
    if (buffer.size() == 0) {
        socket.startReadTimeout(server.limits.idleTimeout);
        co_await socket.socket.async_wait(tcp::socket::wait_read,
                                          asio::redirect_error(use_awaitable, code));
        socket.stopTimeout();
        if (code)
            co_return false;
    }
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(server.limits.maxHeaderBytes));
    parser.body_limit(server.limits.maxBodyBytes);
    body_reservation share(server);
    socket.startReadTimeout(server.limits.requestTimeout);
    std::size_t fieldCount = 0;
    const read_result result
        = co_await readRequest(socket, buffer, parser, share, code, fieldCount);
    socket.stopTimeout();
    if (result == read_result::PeerClosed)
        co_return false;
    const bool isComplete = result == read_result::Complete;
    if (isComplete && server.tryBegin())
        co_return co_await answer(server, socket, parser.release(), fieldCount);
    server_writer writer(socket, false, false, server.limits.writeTimeout);
    http_response reply = toResponse(isComplete ? serverClosed() : problemOf(result, code));
    if (co_await writer.write(std::move(reply)))
        co_await socket.linger();
    co_return false;
}

awaitable<void> serveConnection(std::shared_ptr<http_server::state> server, tcp::socket raw)
{
    {
        timed_socket socket(std::move(raw));
        beast::flat_buffer buffer;
        while (co_await serveRequest(*server, socket, buffer)) {
            // Frees the buffer of the last request, so that idle connections hold no memory.
            if (buffer.size() == 0)
                buffer = beast::flat_buffer();
        }
        beast::error_code ignored;
        socket.socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    --server->connections;
}

/// \brief Answers a connection over the limit with 503 and Retry-After, and closes it.
awaitable<void> refuseConnection(std::shared_ptr<http_server::state> server, tcp::socket raw)
{
    {
        timed_socket socket(std::move(raw));
        server_writer writer(socket, false, false, refusalTimeout);
        http_response reply = toResponse(tooManyConnections());
        if (co_await writer.write(std::move(reply)))
            co_await socket.linger();
    }
    --server->refusing;
}

void acceptConnection(const std::shared_ptr<http_server::state> &server, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto executor = socket.get_executor();
    if (server->connections < server->limits.maxConnections) {
        ++server->connections;
        spawn(executor, "serveConnection", serveConnection(server, std::move(socket)));
    } else if (server->refusing < server->limits.maxConcurrentRefusals) {
        ++server->refusing;
        spawn(executor, "refuseConnection", refuseConnection(server, std::move(socket)));
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
            // Most likely out of file descriptors: retry after some may have been closed.
            co_await sleepFor(milliseconds(50));
            continue;
        }
        acceptConnection(server, std::move(socket));
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
