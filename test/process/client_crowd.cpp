#include "process/client_crowd.h"

#include "process/child.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>

#include <array>

namespace azurehill::process_test {

using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds settleTimeout(60'000);
/// Looks at the bytes sent after which a crowd that sends no more counts as settled.
constexpr int quietLooks = 40;
constexpr std::string_view numberMark = "<number>";

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

awaitable<void> sendSome(tcp::endpoint peer, int &next, int requests,
                         const std::function<std::string(int i)> &requestAt, int &answered)
{
    namespace http = boost::beast::http;
    boost::system::error_code code;
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(peer, asio::redirect_error(use_awaitable, code));
    boost::beast::flat_buffer buffer;
    while (!code && next < requests) {
        const std::string request = requestAt(next++);
        co_await asio::async_write(socket, asio::buffer(request),
                                   asio::redirect_error(use_awaitable, code));
        if (code)
            break;
        http::response<http::string_body> answer;
        co_await http::async_read(socket, buffer, answer,
                                  asio::redirect_error(use_awaitable, code));
        if (!code)
            ++answered;
    }
}

} // namespace

struct client_crowd::member
{
    explicit member(asio::io_context &context) : socket(context) { }

    tcp::socket socket;
    std::array<char, 4096> discarded{};
    int number = 0;
    bool isFinished = false;
};

client_crowd::client_crowd(std::uint16_t port, int size, client_script script)
    : m_peer(loopback(port)), m_script(std::move(script)), m_unfinished(size)
{
    for (int i = 0; i < size; ++i) {
        member &one = m_members.emplace_back(m_context);
        one.number = i;
        asio::co_spawn(m_context, play(one), asio::detached);
    }
    m_thread = std::thread([this] { m_context.run(); });
}

client_crowd::~client_crowd()
{
    m_context.stop();
    m_thread.join();
}

void client_crowd::waitUntilSettled() const
{
    int quiet = 0;
    std::int64_t before = -1;
    CHECK(holdsWithin(settleTimeout, [&] {
        const std::int64_t sent = m_sent;
        quiet = sent == before ? quiet + 1 : 0;
        before = sent;
        return m_unfinished == 0 || (!m_script.awaitsAnswer && quiet >= quietLooks);
    }));
}

awaitable<void> client_crowd::readAll(member &one)
{
    boost::system::error_code code;
    while (!code) {
        co_await one.socket.async_read_some(asio::buffer(one.discarded),
                                            asio::redirect_error(use_awaitable, code));
        if (m_script.awaitsAnswer)
            finish(one);
    }
}

void client_crowd::finish(member &one)
{
    if (!std::exchange(one.isFinished, true))
        --m_unfinished;
}

awaitable<void> client_crowd::play(member &one)
{
    boost::system::error_code code;
    co_await one.socket.async_connect(m_peer, asio::redirect_error(use_awaitable, code));
    if (!code && m_script.readsAnswers)
        asio::co_spawn(m_context, readAll(one), asio::detached);
    const auto send = [&](const std::string &bytes) -> awaitable<void> {
        const std::size_t sent = co_await asio::async_write(
            one.socket, asio::buffer(bytes), asio::redirect_error(use_awaitable, code));
        m_sent += static_cast<std::int64_t>(sent);
    };
    std::string start = m_script.start;
    for (std::size_t at = start.find(numberMark); at != std::string::npos;
         at = start.find(numberMark, at))
        start.replace(at, numberMark.size(), std::to_string(one.number));
    if (!code)
        co_await send(start);
    for (int i = 0; i < m_script.repeats && !code; ++i)
        co_await send(m_script.block);
    if (!code)
        co_await send(m_script.end);
    if (code || !m_script.awaitsAnswer)
        finish(one);
}

int sendInTurn(std::uint16_t port, int connections, int requests,
               const std::function<std::string(int i)> &requestAt)
{
    asio::io_context context;
    int next = 0;
    int answered = 0;
    for (int i = 0; i < connections; ++i) {
        asio::co_spawn(context, sendSome(loopback(port), next, requests, requestAt, answered),
                       asio::detached);
    }
    context.run();
    return answered;
}

} // namespace azurehill::process_test
