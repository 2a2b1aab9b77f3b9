#include "http/server_writer.h"

#include "limits/connection_cost.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace azurehill {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

template <class Buffers>
awaitable<bool> writeBuffers(timed_socket &socket, duration limit, const Buffers &buffers)
{
    beast::error_code code;
    socket.startWriteTimeout(limit);
    co_await asio::async_write(socket.socket, buffers, asio::redirect_error(use_awaitable, code));
    socket.stopTimeout();
    co_return !code;
}

} // namespace

bool server_writer::tryHold(std::size_t bytes)
{
    if (!m_holder)
        return true;
    const std::int64_t total = m_requestBytes + static_cast<std::int64_t>(bytes);
    return bytes <= connection_cost::ordinaryAnswerBytes ? m_holder->tryResizeInProgress(total)
                                                         : m_holder->tryResize(total);
}

void server_writer::updateKeepAlive()
{
    if (m_isCloseRequested && m_isCloseRequested())
        m_keepAlive = false;
}

awaitable<bool> server_writer::write(http_response response)
{
    http::response<http::string_body> out(static_cast<http::status>(response.status), 11);
    for (const auto &[name, value] : response.headers)
        out.insert(name, value);
    updateKeepAlive();
    out.keep_alive(m_keepAlive);
    out.body() = std::move(response.body);
    out.prepare_payload();
    if (m_headOnly)
        out.body().clear();
    beast::error_code code;
    m_responseStarted = true;
    m_socket.startWriteTimeout(m_writeTimeout);
    co_await http::async_write(m_socket.socket, out, asio::redirect_error(use_awaitable, code));
    m_socket.stopTimeout();
    m_finished = !code;
    co_return !code;
}

awaitable<bool> server_writer::begin(int status, header_list headers)
{
    http::response<http::empty_body> out(static_cast<http::status>(status), 11);
    for (const auto &[name, value] : headers)
        out.insert(name, value);
    updateKeepAlive();
    out.keep_alive(m_keepAlive);
    const bool endsWithConnection = m_streamFraming == body_framing::Connection;
    out.chunked(!endsWithConnection);
    // Until end(), an orderly end of the connection would be the end of the body.
    if (endsWithConnection)
        m_socket.setResetOnClose(true);
    http::response_serializer<http::empty_body> serializer(out);
    beast::error_code code;
    m_responseStarted = true;
    m_socket.startWriteTimeout(m_writeTimeout);
    co_await http::async_write_header(m_socket.socket, serializer,
                                      asio::redirect_error(use_awaitable, code));
    m_socket.stopTimeout();
    co_return !code;
}

awaitable<bool> server_writer::writeChunk(std::string_view bytes)
{
    if (bytes.empty() || m_headOnly)
        co_return true;
    if (m_streamFraming == body_framing::Connection) {
        const asio::const_buffer buffer(bytes.data(), bytes.size());
        co_return co_await writeBuffers(m_socket, m_writeTimeout, buffer);
    }
    const auto chunk = http::make_chunk(asio::const_buffer(bytes.data(), bytes.size()));
    co_return co_await writeBuffers(m_socket, m_writeTimeout, chunk);
}

awaitable<bool> server_writer::end()
{
    const bool endsWithConnection = m_streamFraming == body_framing::Connection;
    if (endsWithConnection)
        m_socket.setResetOnClose(false);
    if (m_headOnly || endsWithConnection) {
        m_finished = true;
        co_return true;
    }
    m_finished = co_await writeBuffers(m_socket, m_writeTimeout, http::make_chunk_last());
    co_return m_finished;
}

} // namespace azurehill
