#include "http/timed_socket.h"

#include <boost/asio/redirect_error.hpp>

#include <array>

namespace azurehill {

using tcp = asio::ip::tcp;

namespace {

constexpr duration lingerTimeout = seconds(1);
constexpr std::size_t lingerBytes = 256U << 10U;

/// \returns whether the peer of \p socket has closed its side. The socket must be readable.
bool hasPeerClosed(tcp::socket &socket)
{
    boost::system::error_code code;
    char byte = 0;
    socket.non_blocking(true, code);
    const std::size_t n = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return n == 0 && code != asio::error::would_block && code != asio::error::try_again;
}

} // namespace

timed_socket::timed_socket(tcp::socket s) : socket(std::move(s)), m_guard(socket.get_executor()) { }

timed_socket::~timed_socket()
{
    if (m_watchActive)
        *m_watchActive = false;
}

void timed_socket::startReadTimeout(duration limit)
{
    m_guard.start(runtime_clock::now() + limit, [this] {
        boost::system::error_code ignored;
        socket.cancel(ignored);
    });
}

void timed_socket::startWriteTimeout(duration limit)
{
    m_guard.start(runtime_clock::now() + limit, [this] {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
}

void timed_socket::watchForDisconnect(std::function<void()> onDisconnect)
{
    stopWatchingForDisconnect();
    m_watchActive = std::make_shared<bool>(true);
    socket.async_wait(tcp::socket::wait_read,
                      [this, watching = m_watchActive,
                       onDisconnect = std::move(onDisconnect)](boost::system::error_code code) {
                          if (!code && *watching && hasPeerClosed(socket))
                              onDisconnect();
                      });
}

void timed_socket::stopWatchingForDisconnect()
{
    if (!m_watchActive)
        return;
    *m_watchActive = false;
    m_watchActive.reset();
    boost::system::error_code ignored;
    socket.cancel(ignored);
}

void timed_socket::setResetOnClose(bool resets)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

awaitable<void> timed_socket::linger()
{
    boost::system::error_code code;
    socket.shutdown(tcp::socket::shutdown_send, code);
    std::array<char, 1024> discarded{};
    std::size_t total = 0;
    startReadTimeout(lingerTimeout);
    while (!code && !expired() && total < lingerBytes) {
        total += co_await socket.async_read_some(asio::buffer(discarded),
                                                 asio::redirect_error(use_awaitable, code));
    }
    stopTimeout();
}

} // namespace azurehill
