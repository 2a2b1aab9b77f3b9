#pragma once

#include "core/runtime_clock.h"
#include "http/http_message.h"
#include "limits/memory_account.h"
#include "runtime/asio.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>

namespace azurehill {

/// \brief Size, connection and time limits of an HTTP server.
struct http_limits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    /// Limit on the request bodies of all connections together; requests beyond it get a 503. Only
    /// for a server without a shared memory_account.
    std::int64_t maxTotalBodyBytes = 128LL << 20U;
    /// Connections at a time. One that waits for a request makes way for a new one.
    int maxConnections = 4096;
    /// Requests in progress at a time; those beyond it get a 503.
    int maxRequests = std::numeric_limits<int>::max();
    /// Size of the receive buffer that the kernel is asked for, or 0 for its default.
    int receiveBufferBytes = 0;
    /// Connections beyond maxConnections that may be answered with 503 at one time. Any further
    /// ones are closed without a response.
    int maxConcurrentRefusals = 64;
    /// Maximum time from the first byte of a request to its last.
    duration requestTimeout = seconds(20);
    /// Maximum time that a connection may be idle before its next request.
    duration idleTimeout = seconds(75);
    /// Maximum time of one write, which blocks while the peer does not read.
    duration writeTimeout = seconds(30);
};

/// \brief Writes one response, either complete or chunked.
class response_writer
{
public:
    virtual ~response_writer() = default;
    /// \brief Writes a complete response. \returns whether the write succeeded.
    virtual awaitable<bool> write(http_response response) = 0;
    /// \brief Writes the head of a chunked response.
    virtual awaitable<bool> begin(int status, header_list headers) = 0;
    /// \brief Writes one chunk.
    virtual awaitable<bool> writeChunk(std::string_view bytes) = 0;
    /// \brief Writes the last chunk.
    virtual awaitable<bool> end() = 0;
    /// \returns whether a complete response was written.
    virtual bool finished() const = 0;
    /// \brief Accounts for \p bytes that are held for this request beside the request itself, in
    /// place of those that were accounted for before.
    /// \returns whether the process may hold them.
    virtual bool tryHold(std::size_t bytes)
    {
        static_cast<void>(bytes);
        return true;
    }
    /// \brief Calls \p gone if the peer closes its connection while the request is being handled.
    virtual void onPeerDisconnect(const std::function<void()> &gone) { static_cast<void>(gone); }
};

using request_handler = std::function<awaitable<void>(const http_request &, response_writer &)>;

/// \brief An HTTP/1.1 server with keep-alive. Each connection runs on a strand of its own.
class http_server
{
public:
    /// \param memory account of the memory of all connections of the process; if it is null, the
    /// server has one of its own.
    http_server(asio::any_io_executor executor, http_limits limits, request_handler handler,
                std::shared_ptr<memory_account> memory = nullptr);
    ~http_server();

    /// \brief Binds \p address and starts to accept connections. Port 0 selects any free port.
    /// \returns the port, or 0 when the address can't be bound.
    std::uint16_t listen(const endpoint &address);
    /// \brief Stops accepting connections. Open ones are closed after their current request.
    void stopAccepting();
    /// \brief Sends "Connection: close" with every further response. The server continues to accept
    /// connections and to answer requests.
    void announceClose();
    /// \brief Sets the limits for subsequent requests. Call it on the server's executor.
    void setLimits(const http_limits &limits);
    /// \brief Closes the server if no request is in progress; requests are refused from then on.
    /// Atomic, so that none begins between the check and the end of the process. May be called from
    /// any thread.
    /// \returns whether the server is closed.
    bool closeIfIdle();
    /// \returns the number of requests in progress.
    int requestsInProgress() const;
    /// \returns the number of open connections.
    int openConnections() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace azurehill
