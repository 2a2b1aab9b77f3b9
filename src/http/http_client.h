#pragma once

#include "core/runtime_clock.h"
#include "http/body_completeness.h"
#include "http/http_error.h"
#include "http/http_message.h"
#include "runtime/asio.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace azurehill {

/// \brief Status and headers of a response whose body has not been read yet.
struct response_head
{
    int status = 0;
    header_list headers;
    body_framing framing = body_framing::None;
};

/// \brief An HTTP/1.1 client connection. Each operation has a deadline, measured by runtime_clock.
class http_connection
{
public:
    explicit http_connection(const asio::any_io_executor &executor);
    ~http_connection();
    http_connection(http_connection &&) noexcept;
    http_connection &operator=(http_connection &&) noexcept;

    /// \brief Connects to \p peer.
    awaitable<tl::expected<void, http_error>> connect(endpoint peer, time_point deadline);
    /// \brief Sets the account of the memory for the next response beside its body: a function that
    /// takes the bytes and returns whether they may be held. A response for which it refuses them
    /// is an error.
    void setMemoryAccount(std::function<bool(std::size_t bytes)> tryHold);
    /// \brief Frees what the last response takes, which must have been read. Call it before the
    /// connection is kept for later requests.
    void releaseMemory();

    /// Size of a response's body up to which exchange() reads it, in bytes.
    static constexpr std::size_t defaultMaxBody = 64U << 20U;

    /// \brief Sends \p request and reads the whole response, whose body has at most \p maxBody
    /// bytes.
    awaitable<tl::expected<http_response, http_error>>
    exchange(http_request request, time_point deadline, std::size_t maxBody = defaultMaxBody);
    /// \brief Sends \p request and reads the head of the response. readSome() reads its body.
    awaitable<tl::expected<response_head, http_error>> sendAndReadHead(http_request request,
                                                                       time_point deadline);
    /// \brief Treats the body as an event stream if its head has no Content-Type. Call it after
    /// sendAndReadHead().
    void expectEventStream();
    /// \brief Reads the next part of the body.
    /// \returns an empty string after a complete body, or an error. If the body has ended without
    /// being complete, the error is of kind Incomplete, and its detail is the name of a body_end.
    awaitable<tl::expected<std::string, http_error>> readSome(time_point deadline);

    /// \returns whether another request may be sent on this connection: the last response is
    /// complete, the peer keeps the connection alive, and there is no unsolicited data.
    bool isReusable() const;
    /// \returns the peer's idle timeout from its Keep-Alive header, if it sent one.
    std::optional<duration> keepAliveTimeout() const;
    /// \brief Closes the connection immediately.
    void close();

    struct state;

private:
    std::shared_ptr<state> m_state;
};

/// \brief Performs one exchange on a new connection.
awaitable<tl::expected<http_response, http_error>> exchangeOnce(endpoint peer, http_request request,
                                                                time_point deadline);

} // namespace azurehill
