#include "http/request_reader.h"

#include "http/transfer_coding.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <iterator>

namespace azurehill {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readSize = 16U << 10U;
/// HTTP/1.1 in the notation of Beast.
constexpr unsigned firstVersionWithChunks = 11;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view textOf(const beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) <= ' ' || c == '\x7f';
}

} // namespace

request_reader::request_reader(timed_socket &socket, beast::flat_buffer &buffer,
                               const http_limits &limits, memory_account::holder &holder)
    : m_socket(socket), m_buffer(buffer), m_limits(limits), m_holder(holder)
{
    m_parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser.body_limit(limits.maxBodyBytes);
}

awaitable<read_result> request_reader::read()
{
    while (true) {
        if (const auto result = parseBuffer())
            co_return *result;
        if (std::exchange(m_isContinueDue, false))
            co_await sendContinue();
        beast::error_code code;
        m_buffer.commit(co_await m_socket.socket.async_read_some(
            m_buffer.prepare(nextReadSize()), asio::redirect_error(use_awaitable, code)));
        if (m_socket.expired())
            co_return read_result::RequestTimeout;
        if (code)
            co_return m_holder.isRevoked() ? read_result::NoMemory : read_result::PeerClosed;
    }
}

std::optional<read_result> request_reader::parseBuffer()
{
    if (!m_parser.is_header_done()) {
        const bool isDecidable = isHeadDecidable();
        if (!account())
            return read_result::NoMemory;
        if (!isDecidable)
            return std::nullopt;
        parseSome();
        if (m_error)
            return read_result::Malformed;
        if (!m_parser.is_header_done())
            return std::nullopt;
        if (const auto result = onHeadParsed())
            return result;
    }
    const std::size_t unparsed = m_buffer.size();
    parseSome();
    if (m_error)
        return read_result::Malformed;
    if (m_cost.isChunked)
        m_cost.bodyBytes = m_parser.get().body().size();
    if (m_parser.is_done()) {
        m_cost.isInProgress = true;
        if (m_buffer.size() == 0)
            m_buffer = beast::flat_buffer();
    }
    if (!account())
        return read_result::NoMemory;
    if (m_parser.is_done())
        return read_result::Complete;
    const bool isStuck = m_buffer.size() == unparsed && unparsed >= m_limits.maxHeaderBytes;
    return isStuck ? std::optional(read_result::LineTooLarge) : std::nullopt;
}

std::size_t request_reader::nextReadSize() const
{
    // The buffer of an unfinished head would grow for bytes that may never come.
    constexpr std::size_t minReadSize = 512;
    const bool isInHead = !m_parser.is_header_done() && m_buffer.size() < m_limits.maxHeaderBytes;
    const std::size_t missing = m_limits.maxHeaderBytes - m_buffer.size();
    return isInHead ? std::clamp(missing, minReadSize, readSize) : readSize;
}

bool request_reader::isHeadDecidable()
{
    const std::string_view text = textOf(m_buffer);
    if (text.empty())
        return false;
    if (text.size() >= m_limits.maxHeaderBytes || isControl(text.front()) || !isRequestLineValid())
        return true;
    const std::size_t overlap = headEnd.size() - 1;
    const std::size_t from = m_searchedBytes > overlap ? m_searchedBytes - overlap : 0;
    m_searchedBytes = text.size();
    const std::size_t end = text.find(headEnd, from);
    if (end == std::string_view::npos)
        return false;
    // Parsing makes a node of each field.
    m_cost.headBytes = end;
    m_cost.fields = static_cast<std::size_t>(std::count(text.begin(), text.begin() + end, '\n'));
    return true;
}

bool request_reader::isRequestLineValid()
{
    if (m_isRequestLineChecked)
        return true;
    const std::string_view text = textOf(m_buffer);
    const std::size_t end = text.find(lineEnd);
    if (end == std::string_view::npos)
        return true;
    m_isRequestLineChecked = true;
    parser line;
    line.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    beast::error_code code;
    line.put(asio::buffer(text.data(), end + lineEnd.size()), code);
    return !code || code == http::error::need_more;
}

/// Stops once at the end of the head, so that its fields can be counted before those of a trailer
/// are added.
void request_reader::parseSome()
{
    const bool headWasDone = m_parser.is_header_done();
    while (m_buffer.size() > 0 && !m_parser.is_done() && m_parser.is_header_done() == headWasDone) {
        const std::size_t used = m_parser.put(m_buffer.data(), m_error);
        m_buffer.consume(used);
        if (m_error == http::error::need_more)
            m_error = {};
        if (m_error || used == 0)
            return;
    }
}

std::optional<read_result> request_reader::onHeadParsed()
{
    if (!hasKnownTransferCoding(m_parser.get())) {
        m_error = http::error::bad_transfer_encoding;
        return read_result::Malformed;
    }
    m_fieldCount
        = static_cast<std::size_t>(std::distance(m_parser.get().begin(), m_parser.get().end()));
    m_cost.isChunked = m_parser.chunked();
    const std::uint64_t announced = m_parser.content_length().value_or(0);
    m_cost.bodyBytes = std::min<std::uint64_t>(announced, m_limits.maxBodyBytes);
    if (!account())
        return read_result::NoMemory;
    m_isContinueDue = !m_parser.is_done()
        && beast::iequals(m_parser.get()[http::field::expect], "100-continue");
    return std::nullopt;
}

bool request_reader::account()
{
    m_cost.bufferBytes = m_buffer.capacity();
    return m_holder.tryResize(m_cost.total(), m_cost.peerBytes());
}

/// A client with a large body waits for this interim response.
awaitable<void> request_reader::sendContinue()
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    beast::error_code ignored;
    co_await asio::async_write(m_socket.socket, asio::buffer(interim),
                               asio::redirect_error(use_awaitable, ignored));
}

bool request_reader::knowsChunks() const
{
    return m_parser.get().version() >= firstVersionWithChunks;
}

bool request_reader::keepsAlive() const
{
    return knowsChunks() && m_parser.get().keep_alive();
}

bool request_reader::isHeadRequest() const
{
    return m_parser.get().method() == http::verb::head;
}

http_request request_reader::takeRequest()
{
    message in = m_parser.release();
    http_request request;
    request.method = std::string(in.method_string());
    request.target = std::string(in.target());
    std::size_t remaining = m_fieldCount;
    for (const auto &field : in) {
        if (remaining-- == 0)
            break;
        request.headers.add(field.name_string(), field.value());
    }
    request.body = std::move(in.body());
    return request;
}

} // namespace azurehill
