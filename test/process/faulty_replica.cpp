#include "process/faulty_replica.h"

#include "process/child.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>

namespace azurehill::process_test {

using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds settleTimeout(60'000);

/// \returns the id of the request that begins with \p head.
std::string idOf(std::string_view head)
{
    constexpr std::string_view field = "X-Azurehill-Request-Id: ";
    const std::size_t start = head.find(field);
    if (start == std::string_view::npos)
        return {};
    const std::string_view rest = head.substr(start + field.size());
    return std::string(rest.substr(0, rest.find('\r')));
}

} // namespace

faulty_replica::faulty_replica(faulty_answer answer)
    : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
      m_port(m_acceptor.local_endpoint().port()), m_answer(std::move(answer))
{
    asio::co_spawn(m_context, acceptAll(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

faulty_replica::~faulty_replica()
{
    m_context.stop();
    m_thread.join();
}

void faulty_replica::waitUntilSettled() const
{
    CHECK(settlesWithin(settleTimeout, [this] { return m_sent.load(); }));
}

awaitable<void> faulty_replica::acceptAll()
{
    boost::system::error_code code;
    while (!code) {
        auto socket = std::make_shared<tcp::socket>(m_context);
        co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
        if (!code)
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

awaitable<void> faulty_replica::serve(socket_ptr socket)
{
    boost::system::error_code code;
    std::array<char, 4096> room{};
    const std::size_t size = co_await socket->async_read_some(
        asio::buffer(room), asio::redirect_error(use_awaitable, code));
    if (code)
        co_return;
    ++m_arrived;
    const auto send = [&](const std::string &bytes) -> awaitable<void> {
        const std::size_t sent = co_await asio::async_write(
            *socket, asio::buffer(bytes), asio::redirect_error(use_awaitable, code));
        m_sent += static_cast<std::int64_t>(sent);
    };
    std::string start = m_answer.start;
    if (const std::size_t mark = start.find(": ID"); mark != std::string::npos)
        start.replace(mark + 2, 2, idOf({room.data(), size}));
    co_await send(start);
    for (int i = 0; i < m_answer.repeats && !code; ++i)
        co_await send(m_answer.block);
    // The caller closes the connection when it has had enough.
    while (!code) {
        co_await socket->async_read_some(asio::buffer(room),
                                         asio::redirect_error(use_awaitable, code));
    }
}

} // namespace azurehill::process_test
