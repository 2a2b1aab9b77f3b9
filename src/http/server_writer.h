#pragma once

#include "http/body_framing.h"
#include "http/http_server.h"
#include "http/timed_socket.h"

namespace azurehill {

/// \brief The response_writer of http_server, which writes to a timed_socket.
class server_writer : public response_writer
{
public:
    /// \param headOnly whether the request was a HEAD, whose response has no body.
    server_writer(timed_socket &socket, bool keepAlive, bool headOnly, duration writeTime)
        : m_socket(socket), m_keepAlive(keepAlive), m_headOnly(headOnly), m_writeTimeout(writeTime)
    { }

    awaitable<bool> write(http_response response) override;
    awaitable<bool> begin(int status, header_list headers) override;
    awaitable<bool> writeChunk(std::string_view bytes) override;
    awaitable<bool> end() override;
    void onPeerDisconnect(const std::function<void()> &gone) override
    {
        m_socket.watchForDisconnect(gone);
    }

    /// \brief Sets what delimits the body of a streamed response: Chunked, the default, or
    /// Connection. For the latter, closing the socket before end() resets the connection.
    void setStreamFraming(body_framing framing) { m_streamFraming = framing; }

    /// \brief Sets a predicate that tells, when the head of the response is written, whether the
    /// connection is to be closed after it.
    void setCloseRequested(std::function<bool()> isRequested)
    {
        m_isCloseRequested = std::move(isRequested);
    }

    /// \returns whether the response, if it was written, leaves the connection open.
    bool keepsAlive() const { return m_keepAlive; }
    /// \returns whether a response has been started.
    bool responseStarted() const { return m_responseStarted; }
    bool finished() const override { return m_finished; }
    bool tryHold(std::size_t bytes) override;

    /// \brief Sets the account of the connection, in which its request has \p requestBytes.
    void setHolder(memory_account::holder &holder, std::int64_t requestBytes)
    {
        m_holder = &holder;
        m_requestBytes = requestBytes;
    }

private:
    void updateKeepAlive();

    timed_socket &m_socket;
    memory_account::holder *m_holder = nullptr;
    std::int64_t m_requestBytes = 0;
    bool m_keepAlive;
    std::function<bool()> m_isCloseRequested;
    bool m_headOnly;
    duration m_writeTimeout;
    body_framing m_streamFraming = body_framing::Chunked;
    bool m_responseStarted = false;
    bool m_finished = false;
};

} // namespace azurehill
