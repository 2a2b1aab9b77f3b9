#include "members/gossip_socket.h"

#include "core/log_event.h"

namespace azurehill {

gossip_socket::gossip_socket(const asio::any_io_executor &executor, receiver onMessage)
    : m_socket(executor, "gossip",
               [r = std::move(onMessage)](std::string_view text, const endpoint &from) {
                   const auto message = decodeProbe(text);
                   if (message)
                       r(*message, from);
                   else
                       logDecision(log_event::GossipUnreadable, {{"from", from.host}});
               })
{ }

} // namespace azurehill
