#pragma once

#include "http/http.h"
#include "runtime/runtime.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <exception>
#include <string>

namespace azurehill::test {

/// \brief Stops the clock for one test.
struct paused_clock
{
    paused_clock() { runtime_clock::pause(); }
    ~paused_clock() { runtime_clock::resume(); }
    paused_clock(const paused_clock &) = delete;
    paused_clock &operator=(const paused_clock &) = delete;
};

/// \brief Runs \p context until \p body has ended.
inline void runIn(asio::io_context &context, awaitable<void> body)
{
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(body), [&](std::exception_ptr e) {
        failure = std::move(e);
        done = true;
    });
    context.restart();
    while (!done)
        context.run_one();
    if (failure)
        std::rethrow_exception(failure);
}

/// \brief Runs \p body on a paused clock, which advances by \p step whenever no work is left.
/// Timers notice the advance within a millisecond of real time.
inline void runInSteps(asio::io_context &context, awaitable<void> body, duration step)
{
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(body), [&](std::exception_ptr e) {
        failure = std::move(e);
        done = true;
    });
    context.restart();
    while (!done) {
        context.run_for(std::chrono::microseconds(1200));
        context.restart();
        runtime_clock::advance(step);
    }
    if (failure)
        std::rethrow_exception(failure);
}

/// \brief Yields to all other handlers that are ready.
inline awaitable<void> yieldOnce()
{
    co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
}

/// \brief Advances the paused clock in steps until \p done is set.
inline awaitable<void> advanceUntil(const bool &done, duration step)
{
    while (!done) {
        runtime_clock::advance(step);
        co_await yieldOnce();
    }
}

/// \brief TCP client that sends and receives raw bytes.
class raw_client
{
public:
    explicit raw_client(asio::io_context &context) : m_socket(context) { }

    awaitable<void> connect(std::uint16_t port)
    {
        const asio::ip::tcp::endpoint peer(asio::ip::address_v4::loopback(), port);
        co_await m_socket.async_connect(peer, use_awaitable);
    }
    awaitable<bool> send(std::string bytes)
    {
        boost::system::error_code code;
        co_await asio::async_write(m_socket, asio::buffer(bytes),
                                   asio::redirect_error(use_awaitable, code));
        co_return !code;
    }
    /// \returns all bytes up to the end of the stream.
    awaitable<std::string> readToEnd()
    {
        std::string all;
        while (true) {
            const std::string chunk = co_await readSome();
            if (chunk.empty())
                co_return all;
            all += chunk;
        }
    }
    /// \returns the next bytes, or an empty text at the end of the stream.
    awaitable<std::string> readSome()
    {
        std::string chunk(4096, '\0');
        boost::system::error_code code;
        const std::size_t n = co_await m_socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(use_awaitable, code));
        chunk.resize(n);
        m_endedBy = code;
        co_return chunk;
    }
    /// \returns what ended the stream.
    boost::system::error_code endedBy() const { return m_endedBy; }
    /// \returns the bytes received up to and including the read that completes \p text.
    awaitable<std::string> readUntil(std::string text)
    {
        std::string all;
        while (all.find(text) == std::string::npos) {
            const std::string chunk = co_await readSome();
            if (chunk.empty())
                break;
            all += chunk;
        }
        co_return all;
    }
    void close() { m_socket.close(); }
    asio::ip::tcp::socket &socket() { return m_socket; }

private:
    asio::ip::tcp::socket m_socket;
    boost::system::error_code m_endedBy;
};

/// \brief Sends \p bytes on a new connection. \returns all bytes received.
inline awaitable<std::string> exchangeRaw(asio::io_context &context, std::uint16_t port,
                                          std::string bytes)
{
    raw_client client(context);
    co_await client.connect(port);
    co_await client.send(std::move(bytes));
    co_return co_await client.readToEnd();
}

} // namespace azurehill::test
