#include "members/datagram_socket.h"

#include "core/traffic_meter.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>

#include <array>

namespace azurehill {

using udp = asio::ip::udp;

namespace {

constexpr std::size_t maxDatagram = 16U << 10U;

} // namespace

struct datagram_socket::state
{
    state(const asio::any_io_executor &executor, std::string p, receiver r)
        : socket(executor), purpose(std::move(p)), onText(std::move(r))
    { }

    udp::socket socket;
    std::string purpose;
    receiver onText;
    std::array<char, maxDatagram> buffer{};
    bool stopped = false;
    traffic_meter meter;
};

datagram_socket::datagram_socket(const asio::any_io_executor &executor, std::string purpose,
                                 receiver onText)
    : m_state(std::make_shared<state>(executor, std::move(purpose), std::move(onText)))
{ }

datagram_socket::~datagram_socket()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

awaitable<void> datagram_socket::receiveAll(std::shared_ptr<state> s)
{
    while (!s->stopped) {
        udp::endpoint from;
        boost::system::error_code code;
        const std::size_t length = co_await s->socket.async_receive_from(
            asio::buffer(s->buffer), from, asio::redirect_error(use_awaitable, code));
        if (code == asio::error::operation_aborted || s->stopped)
            co_return;
        if (code)
            continue;
        s->onText(std::string_view(s->buffer.data(), length),
                  {from.address().to_string(), from.port()});
    }
}

std::uint16_t datagram_socket::listen(const endpoint &address)
{
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (!code)
        m_state->socket.open(udp::v4(), code);
    if (!code)
        m_state->socket.bind({ip, address.port}, code);
    if (code)
        return 0;
    m_state->socket.non_blocking(true, code);
    spawn(m_state->socket.get_executor(), "receiveDatagrams", receiveAll(m_state));
    return m_state->socket.local_endpoint().port();
}

void datagram_socket::send(const endpoint &peer, const std::string &text)
{
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(peer.host, code);
    m_state->meter.onCall(m_state->purpose, text.size(), 0, runtime_clock::now());
    if (!code)
        m_state->socket.send_to(asio::buffer(text), {ip, peer.port}, 0, code);
    // Send errors are ignored: senders have to tolerate lost datagrams anyway.
}

} // namespace azurehill
