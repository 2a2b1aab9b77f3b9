#include "http/http_client.h"

#include "http/head_buffer.h"
#include "http/head_verdict.h"
#include "runtime/deadline_guard.h"
#include "runtime/notifier.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>

namespace azurehill {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

using response_parser = beast::http::response_parser<beast::http::buffer_body>;

constexpr std::size_t maxResponseHeader = 64U << 10U;
constexpr std::size_t readBufferSize = 16U << 10U;
/// Bound on bytes that are received and not yet parsed: a head, the extension of a chunk, or
/// trailers.
constexpr std::size_t maxUnparsedBytes = 2 * maxResponseHeader;
/// Interim responses before the final one.
constexpr int maxInterimHeads = 32;

http_error makeError(beast::error_code code, bool timedOut, outcome ran)
{
    if (timedOut)
        return {http_error_kind::TimedOut, ran, "deadline passed"};
    const bool malformed = code.category() == beast::http::make_error_code({}).category()
        && code != beast::http::error::end_of_stream && code != beast::http::error::partial_message;
    const auto kind = malformed ? http_error_kind::Malformed : http_error_kind::ConnectionLost;
    return {kind, ran, code.message()};
}

http_error incompleteBody(body_end end)
{
    return {http_error_kind::Incomplete, outcome::Unknown, std::string(toName(end))};
}

http_error invalidHead(head_verdict verdict)
{
    return {http_error_kind::Malformed, outcome::Unknown, std::string(toName(verdict))};
}

http_error memoryShort()
{
    return {http_error_kind::Malformed, outcome::Unknown, "no memory is left for the answer"};
}

http_error responseTooLarge()
{
    return {http_error_kind::Malformed, outcome::Ran, "the response is too long"};
}

} // namespace

struct http_connection::state
{
    explicit state(const asio::any_io_executor &executor) : socket(executor), guard(executor) { }

    tcp::socket socket;
    deadline_guard guard;
    head_buffer buffer{maxUnparsedBytes};
    std::optional<response_parser> parser;
    /// Verdict on the head that was read last.
    head_verdict verdict = head_verdict::Final;
    body_completeness body{body_framing::None, body_syntax::Opaque};
    std::string host;
    /// The request being written.
    beast::http::request<beast::http::string_body> out;
    beast::error_code writeError;
    std::size_t sent = 0;
    bool writing = false;
    /// Notified when the write has ended.
    notifier writeEnded;
    std::optional<duration> keepAlive;
    /// Buffer for the next part of a body. It is a member so that it isn't zeroed for each read: a
    /// streamed body takes a read per token.
    std::array<char, readBufferSize> readBuffer;
    bool reusable = false;

    /// Closes the socket at \p until, which aborts the operation in progress.
    void closeAt(time_point until)
    {
        guard.start(until, [this] {
            beast::error_code ignored;
            socket.close(ignored);
        });
    }
    bool expired() const { return guard.expired(); }
    bool isRequestWritten() const { return !writing && !writeError; }
};

namespace {

/// \returns the "timeout" parameter of the Keep-Alive header, if present.
std::optional<duration> parseKeepAliveTimeout(const header_list &headers)
{
    const std::string_view value = headers.get("Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t place = value.find(name);
    if (place == std::string_view::npos)
        return std::nullopt;
    int whole = 0;
    const std::string_view digits = value.substr(place + name.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), whole).ec != std::errc())
        return std::nullopt;
    return seconds(whole);
}

/// \returns what delimits the body of the response whose head \p parser has read.
body_framing framingOf(const response_parser &parser)
{
    if (parser.is_done())
        return body_framing::None;
    if (parser.chunked())
        return body_framing::Chunked;
    return parser.content_length() ? body_framing::Length : body_framing::Connection;
}

void startWrite(const std::shared_ptr<http_connection::state> &s, http_request request)
{
    namespace http = beast::http;
    s->out = {http::string_to_verb(request.method), request.target, 11};
    for (const auto &[name, value] : request.headers)
        s->out.insert(name, value);
    if (!request.headers.has("Host"))
        s->out.set(http::field::host, s->host);
    s->out.body() = std::move(request.body);
    s->out.prepare_payload();
    s->writing = true;
    s->writeError = {};
    s->sent = 0;
    http::async_write(s->socket, s->out, [s](beast::error_code code, std::size_t sent) {
        s->writing = false;
        s->sent = sent;
        s->writeError = code;
        s->out.body() = {};
        s->writeEnded.notifyAll();
    });
}

/// \brief Waits until the write of the request has ended. Closing the socket ends it.
awaitable<void> awaitWriteEnd(std::shared_ptr<http_connection::state> s)
{
    const std::uint64_t seen = s->writeEnded.version();
    if (s->writing)
        co_await s->writeEnded.waitForChangeSince(seen);
}

/// \brief Reads the next head, of an interim or the final response.
awaitable<beast::error_code> readHead(std::shared_ptr<http_connection::state> s)
{
    namespace http = beast::http;
    auto &parser = s->parser.emplace();
    // Streamed bodies are unbounded, since finished books are large. exchange() has its own limit.
    parser.body_limit(boost::none);
    parser.skip(s->out.method() == http::verb::head);
    parser.header_limit(maxResponseHeader);
    beast::error_code code;
    s->buffer.beginHead();
    co_await http::async_read_header(s->socket, s->buffer, parser,
                                     asio::redirect_error(use_awaitable, code));
    s->verdict = judgeHead(parser.get(), s->buffer.endHead());
    co_return code;
}

/// \brief Reads heads up to the first that is not of an interim response. Those before are dropped.
awaitable<beast::error_code> readFinalHead(std::shared_ptr<http_connection::state> s)
{
    for (int interim = 0; interim <= maxInterimHeads; ++interim) {
        const beast::error_code code = co_await readHead(s);
        if (code || s->verdict != head_verdict::Interim)
            co_return code;
    }
    co_return beast::http::error::header_limit;
}

} // namespace

http_connection::http_connection(const asio::any_io_executor &executor)
    : m_state(std::make_shared<state>(executor))
{ }
http_connection::~http_connection() = default;
http_connection::http_connection(http_connection &&) noexcept = default;
http_connection &http_connection::operator=(http_connection &&) noexcept = default;

bool http_connection::isReusable() const
{
    if (!m_state->reusable || !m_state->isRequestWritten() || !m_state->socket.is_open())
        return false;
    // Unread bytes, such as a second response to the last request, would be parsed as the response
    // to the next one.
    if (m_state->buffer.size() > 0)
        return false;
    beast::error_code code;
    char byte = 0;
    m_state->socket.non_blocking(true, code);
    m_state->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block || code == asio::error::try_again;
}

std::optional<duration> http_connection::keepAliveTimeout() const
{
    return m_state->keepAlive;
}

void http_connection::setMemoryAccount(std::function<bool(std::size_t)> tryHold)
{
    m_state->buffer.setAccount(std::move(tryHold));
}

void http_connection::releaseMemory()
{
    m_state->buffer.setAccount(nullptr);
    m_state->buffer.shrink_to_fit();
    m_state->parser.reset();
}

void http_connection::close()
{
    beast::error_code ignored;
    m_state->socket.close(ignored);
    m_state->reusable = false;
}

awaitable<tl::expected<void, http_error>> http_connection::connect(endpoint peer,
                                                                   time_point deadline)
{
    beast::error_code code;
    const auto address = asio::ip::make_address(peer.host, code);
    if (code) {
        co_return tl::unexpected(http_error{http_error_kind::ConnectFailed, outcome::DidNotRun,
                                            "not an IP address: " + peer.host});
    }
    m_state->closeAt(deadline);
    co_await m_state->socket.async_connect(tcp::endpoint(address, peer.port),
                                           asio::redirect_error(use_awaitable, code));
    m_state->guard.finish();
    if (code || m_state->expired()) {
        const auto kind
            = m_state->expired() ? http_error_kind::TimedOut : http_error_kind::ConnectFailed;
        co_return tl::unexpected(http_error{kind, outcome::DidNotRun, code.message()});
    }
    m_state->socket.set_option(tcp::no_delay(true), code);
    m_state->host = toText(peer);
    m_state->reusable = true;
    co_return tl::expected<void, http_error>();
}

awaitable<tl::expected<response_head, http_error>>
http_connection::sendAndReadHead(http_request request, time_point deadline)
{
    namespace http = beast::http;
    const auto s = m_state;
    beast::error_code code;
    s->reusable = false;
    s->closeAt(deadline);
    startWrite(s, std::move(request));
    // The peer may respond before it has read a long request, so the write runs concurrently with
    // the read.
    code = co_await readFinalHead(s);
    s->guard.finish();
    if (code || s->expired()) {
        const bool nothingSent = !s->writing && s->sent == 0;
        const outcome ran = nothingSent ? outcome::DidNotRun : outcome::Unknown;
        co_return tl::unexpected(makeError(code, s->expired(), ran));
    }
    if (s->buffer.isRefused())
        co_return tl::unexpected(memoryShort());
    const response_parser &parser = *s->parser;
    if (s->verdict != head_verdict::Final)
        co_return tl::unexpected(invalidHead(s->verdict));
    response_head result;
    result.status = parser.get().result_int();
    result.framing = framingOf(parser);
    s->body
        = {result.framing, syntaxOf(parser.get()[http::field::content_type], body_syntax::Opaque)};
    for (const auto &field : parser.get())
        result.headers.add(field.name_string(), field.value());
    s->keepAlive = parseKeepAliveTimeout(result.headers);
    co_return result;
}

void http_connection::expectEventStream()
{
    const auto contentType = m_state->parser->get()[beast::http::field::content_type];
    m_state->body = {m_state->body.framing(), syntaxOf(contentType, body_syntax::EventStream)};
}

awaitable<tl::expected<std::string, http_error>> http_connection::readSome(time_point deadline)
{
    namespace http = beast::http;
    auto &parser = *m_state->parser;
    std::size_t length = 0;
    m_state->closeAt(deadline);
    beast::error_code code;
    while (length == 0 && !parser.is_done()) {
        parser.get().body().data = m_state->readBuffer.data();
        parser.get().body().size = readBufferSize;
        co_await http::async_read_some(m_state->socket, m_state->buffer, parser,
                                       asio::redirect_error(use_awaitable, code));
        if (code == http::error::need_buffer)
            code = {};
        length = readBufferSize - parser.get().body().size;
        if (code || m_state->expired())
            break;
    }
    body_completeness &body = m_state->body;
    // Whether this end is an orderly one shows only when the write has ended.
    if (!code && parser.is_done() && body.framing() == body_framing::Connection)
        co_await awaitWriteEnd(m_state);
    m_state->guard.finish();
    const bool isRequestWritten = m_state->isRequestWritten();
    if (code == http::error::partial_message && !m_state->expired())
        co_return tl::unexpected(incompleteBody(body.endOfBody(false, isRequestWritten)));
    if (code || m_state->expired())
        co_return tl::unexpected(makeError(code, m_state->expired(), outcome::Unknown));
    std::string bytes(m_state->readBuffer.data(), length);
    body.onBytes(bytes);
    if (!parser.is_done())
        co_return bytes;
    const body_end end = body.endOfBody(true, isRequestWritten);
    // The bytes before the end are delivered first.
    if (end != body_end::Complete && bytes.empty())
        co_return tl::unexpected(incompleteBody(end));
    m_state->reusable
        = end == body_end::Complete && parser.get().keep_alive() && !parser.get().need_eof();
    co_return bytes;
}

awaitable<tl::expected<http_response, http_error>>
http_connection::exchange(http_request request, time_point deadline, std::size_t maxBody)
{
    auto head = co_await sendAndReadHead(std::move(request), deadline);
    if (!head)
        co_return tl::unexpected(head.error());
    http_response response{head->status, std::move(head->headers), {}};
    while (true) {
        auto piece = co_await readSome(deadline);
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (piece->empty())
            co_return response;
        response.body += *piece;
        if (response.body.size() > maxBody) {
            close();
            co_return tl::unexpected(responseTooLarge());
        }
    }
}

awaitable<tl::expected<http_response, http_error>> exchangeOnce(endpoint peer, http_request request,
                                                                time_point deadline)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(std::move(peer), deadline);
    if (!connected)
        co_return tl::unexpected(connected.error());
    co_return co_await connection.exchange(std::move(request), deadline);
}

} // namespace azurehill
