#pragma once

#include "core/runtime_clock.h"
#include "http/http_message.h"
#include "runtime/asio.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace azurehill {

/// \brief Bounds on what a peer may send or hold.
struct http_limits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    /// Bodies that all connections together may hold; more is refused with 503.
    std::int64_t maxTotalBodyBytes = 128LL << 20U;
    int maxConnections = 4096;
    /// Connections beyond these that are still told 503 before they are closed.
    int maxConcurrentRefusals = 64;
    /// Longest time from the first byte of a request to its last.
    duration requestTimeout = seconds(20);
    /// Longest time a connection may wait for its next request.
    duration idleTimeout = seconds(75);
    /// Longest time a write may stand still because the peer does not read.
    duration writeTimeout = seconds(30);
};

/// \brief Writes one response, whole or piece by piece.
class response_writer
{
public:
    virtual ~response_writer() = default;
    /// \brief Writes a whole response. \returns whether the peer still takes bytes.
    virtual awaitable<bool> write(http_response response) = 0;
    /// \brief Writes the head of a chunked response.
    virtual awaitable<bool> begin(int status, header_list headers) = 0;
    /// \brief Writes one chunk.
    virtual awaitable<bool> writeChunk(std::string_view bytes) = 0;
    /// \brief Writes the last chunk.
    virtual awaitable<bool> end() = 0;
    /// \brief Calls \p gone if the peer closes its connection while the answer is under way.
    virtual void onPeerDisconnect(const std::function<void()> &gone) { static_cast<void>(gone); }
};

using request_handler = std::function<awaitable<void>(const http_request &, response_writer &)>;

/// \brief An HTTP/1.1 server with keep-alive. Each connection runs on a strand of its own.
class http_server
{
public:
    http_server(asio::any_io_executor executor, http_limits limits, request_handler handler);
    ~http_server();

    /// \brief Binds \p address and starts to accept. Port 0 takes any free port.
    /// \returns the port, or 0 when the address can't be bound.
    std::uint16_t listen(const endpoint &address);
    /// \brief Accepts no more connections; those that are open end after their current request.
    void stopAccepting();
    /// \brief Goes on to accept and to answer, but tells every client to open no further request on
    /// its connection.
    void announceClose();
    /// \brief Sets new bounds for the requests to come. Call it on the server's executor.
    void setLimits(const http_limits &limits);
    /// \returns the number of requests now being answered.
    int requestsInProgress() const;
    /// \returns the number of connections that are open.
    int openConnections() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace azurehill
