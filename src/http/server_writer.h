#pragma once

#include "http/http_server.h"
#include "http/timed_socket.h"

namespace azurehill {

/// \brief Writes one response of a server to its connection.
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

    /// \returns whether any part of a response went out.
    bool responseStarted() const { return m_responseStarted; }
    /// \returns whether a whole response went out, so that the connection can go on.
    bool finished() const { return m_finished; }

private:
    timed_socket &m_socket;
    bool m_keepAlive;
    bool m_headOnly;
    duration m_writeTimeout;
    bool m_responseStarted = false;
    bool m_finished = false;
};

} // namespace azurehill
