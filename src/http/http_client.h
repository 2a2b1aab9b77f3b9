#pragma once

#include "core/runtime_clock.h"
#include "http/http_error.h"
#include "http/http_message.h"
#include "runtime/asio.h"

#include <tl/expected.hpp>

#include <memory>
#include <optional>

namespace azurehill {

/// \brief Head of a response whose body is still to come.
struct response_head
{
    int status = 0;
    header_list headers;
};

/// \brief One client connection. Each call is bounded by a deadline of the project's clock.
class http_connection
{
public:
    explicit http_connection(const asio::any_io_executor &executor);
    ~http_connection();
    http_connection(http_connection &&) noexcept;
    http_connection &operator=(http_connection &&) noexcept;

    /// \brief Connects to \p peer.
    awaitable<tl::expected<void, http_error>> connect(endpoint peer, time_point deadline);
    /// \brief Sends \p request and reads the whole response.
    awaitable<tl::expected<http_response, http_error>> exchange(http_request request,
                                                                time_point deadline);
    /// \brief Sends \p request and reads the head of the response.
    awaitable<tl::expected<response_head, http_error>> sendAndReadHead(http_request request,
                                                                       time_point deadline);
    /// \brief Reads the next piece of the body. \returns an empty string at its end.
    awaitable<tl::expected<std::string, http_error>> readSome(time_point deadline);

    /// \returns whether another request may go out on this connection: the last response was whole,
    /// the peer wants to go on, and no byte has come that belongs to no request.
    bool isReusable() const;
    /// \returns for how long the peer keeps the idle connection, if it said so.
    std::optional<duration> keepAliveTimeout() const;
    /// \brief Closes the connection at once.
    void close();

    struct state;

private:
    std::shared_ptr<state> m_state;
};

/// \brief Makes one exchange on a connection of its own.
awaitable<tl::expected<http_response, http_error>> exchangeOnce(endpoint peer, http_request request,
                                                                time_point deadline);

} // namespace azurehill
