#pragma once

#include "entry/entry_metrics.h"
#include "entry/host_settings.h"
#include "entry/upstream_sender.h"
#include "http/http_server.h"
#include "members/members.h"
#include "platform/platform_store.h"
#include "turns/turns.h"

#include <random>

namespace azurehill {

/// \brief Serves clients: finds the route, builds prompts, sends to replicas and relays answers.
/// Lives on the traffic thread.
class entry_service
{
public:
    entry_service(asio::io_context &context, const host_settings &settings, entry_metrics &metrics);

    /// \brief Listens for clients. \returns the port, or 0 when the address can't be bound.
    std::uint16_t start();
    /// \brief Tells clients to close their connections after the answers under way.
    void announceClose();
    /// \returns the number of requests being answered. May be called from any thread.
    int requestsInProgress() const { return m_server.requestsInProgress(); }

    void setRoutes(route_book_ptr routes);
    void setReplicas(const std::vector<replica_entry> &listed);
    /// \param alive daemons that live, this one included.
    void setPeers(std::vector<endpoint> reachingStore, int alive);

private:
    awaitable<void> serve(const http_request &request, response_writer &writer);
    awaitable<void> servePlain(entry_call_ptr call, const http_request &request,
                               response_writer &writer);
    awaitable<void> serveStream(entry_call_ptr call, const http_request &request,
                                response_writer &writer);
    awaitable<void> serveTurn(entry_call_ptr call, const http_request &request,
                              response_writer &writer);
    awaitable<void> sweep();
    awaitable<void> removeOldRows();

    /// \brief A request that waits for a place at the engines.
    struct gate_wait
    {
        explicit gate_wait(const asio::any_io_executor &executor) : alarm(executor) { }
        timer alarm;
        bool granted = false;
    };
    /// \brief Waits for a place at the engines of the call's service.
    awaitable<bool> enterGate(entry_call_ptr call);
    /// \brief Gives the call's place back, if it has one.
    void leaveGate(entry_call &call);
    void grantPlaces(service_gate &gate);
    gate_ticket ticketOf(const entry_call &call) const;

    /// \brief How the relay of a stream ended.
    struct stream_end
    {
        bool isWhole = false;
        /// Data of the events, each followed by a line feed.
        std::string output;
        std::int64_t events = 0;
    };
    awaitable<stream_end> relayStream(entry_call_ptr call, open_reply &reply,
                                      response_writer &writer);
    awaitable<void> relayFailure(entry_call_ptr call, open_reply reply, response_writer &writer);
    awaitable<bool> readBody(entry_call_ptr call, open_reply &reply, std::string &body);
    awaitable<void> refuse(entry_call_ptr call, own_answer answer, std::string detail,
                           response_writer &writer, duration retryAfter = milliseconds(300));
    awaitable<void> giveUp(entry_call_ptr call, send_failure failure, response_writer &writer);

    std::string detailOf(turn_refusal refusal, const turn_claim &claim) const;
    std::string pickService(const route_rule &route);
    placement_request wantedOf(const entry_call &call) const;

    host_settings m_settings;
    entry_metrics &m_metrics;
    asio::any_io_executor m_executor;
    std::minstd_rand m_random;
    std::shared_ptr<peer_transport> m_transport;
    platform_store m_store;
    turn_ledger m_ledger;
    replica_board m_board;
    upstream_sender m_sender;
    http_server m_server;
    route_book_ptr m_routes;
    /// By service; only those with engines have one.
    std::map<std::string, service_gate, std::less<>> m_gates;
    std::map<std::uint64_t, std::shared_ptr<gate_wait>> m_gateWaits;
    std::uint64_t m_lastTicket = 0;
    int m_daemons = 1;
};

} // namespace azurehill
