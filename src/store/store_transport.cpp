#include "store/store_transport.h"

namespace azurehill {

namespace {

/// A dead connection to the store is detected only at its next use; this bounds the time it can
/// have been idle by then.
constexpr duration maxIdle = seconds(5);
constexpr std::size_t maxIdleConnections = 16;
/// The store's host is a few milliseconds away, and TCP retransmits a lost SYN only after a
/// second, so the attempt is abandoned before that.
constexpr duration connectTimeout = milliseconds(400);

} // namespace

direct_transport::direct_transport(const asio::any_io_executor &executor, endpoint store)
    : m_store(std::move(store)), m_pool(executor, maxIdle, maxIdleConnections)
{ }

awaitable<tl::expected<http_response, http_error>>
direct_transport::exchange(http_request request, time_point deadline, duration /*hold*/)
{
    http_connection connection = m_pool.take(m_store, runtime_clock::now());
    if (!connection.isReusable()) {
        const time_point until = std::min(deadline, runtime_clock::now() + connectTimeout);
        const auto connected = co_await connection.connect(m_store, until);
        if (!connected)
            co_return tl::unexpected(connected.error());
    }
    auto response = co_await connection.exchange(std::move(request), deadline, maxStoreAnswerBytes);
    if (response)
        m_pool.give(m_store, std::move(connection), runtime_clock::now());
    else
        m_pool.drop(m_store);
    co_return response;
}

} // namespace azurehill
