#pragma once

#include "http/connection_pool.h"

namespace azurehill {

/// Largest answer of the store that is read, in bytes. A page has at most 1 MB of rows; no limit is
/// stated for a feed.
constexpr std::size_t maxStoreAnswerBytes = 16U << 20U;

/// \brief Transport for HTTP requests to the platform's store.
class store_transport
{
public:
    virtual ~store_transport() = default;
    /// \param hold time for which the store may hold the request in a long poll.
    virtual awaitable<tl::expected<http_response, http_error>>
    exchange(http_request request, time_point deadline, duration hold) = 0;
};

/// \brief Transport over a pool of persistent connections directly to the store.
class direct_transport : public store_transport
{
public:
    direct_transport(const asio::any_io_executor &executor, endpoint store);
    awaitable<tl::expected<http_response, http_error>>
    exchange(http_request request, time_point deadline, duration hold) override;

private:
    endpoint m_store;
    connection_pool m_pool;
};

} // namespace azurehill
