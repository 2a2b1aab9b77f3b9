#include "members/gossip_socket.h"

#include "core/log_event.h"
#include "core/traffic_meter.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>

#include <array>

namespace azurehill {

using udp = asio::ip::udp;

namespace {

constexpr std::size_t maxMessage = 16U << 10U;

} // namespace

struct gossip_socket::state
{
    state(const asio::any_io_executor &executor, receiver r)
        : socket(executor), onMessage(std::move(r))
    { }

    udp::socket socket;
    receiver onMessage;
    std::array<char, maxMessage> buffer{};
    bool stopped = false;
    traffic_meter meter;
};

gossip_socket::gossip_socket(const asio::any_io_executor &executor, receiver onMessage)
    : m_state(std::make_shared<state>(executor, std::move(onMessage)))
{ }

gossip_socket::~gossip_socket()
{
    m_state->stopped = true;
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

namespace {

template <class State>
awaitable<void> receiveAll(std::shared_ptr<State> s)
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
        const auto message = decodeProbe(std::string_view(s->buffer.data(), length));
        if (message)
            s->onMessage(*message, {from.address().to_string(), from.port()});
        else
            logDecision(log_event::GossipUnreadable, {{"from", from.address().to_string()}});
    }
}

} // namespace

std::uint16_t gossip_socket::listen(const endpoint &address)
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
    spawn(m_state->socket.get_executor(), "gossip", receiveAll(m_state));
    return m_state->socket.local_endpoint().port();
}

void gossip_socket::send(const endpoint &peer, const std::string &message)
{
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(peer.host, code);
    m_state->meter.onCall("gossip", message.size(), 0, runtime_clock::now());
    if (!code)
        m_state->socket.send_to(asio::buffer(message), {ip, peer.port}, 0, code);
    // A datagram that does not leave is like one that got lost: the next round makes up for it.
}

} // namespace azurehill
