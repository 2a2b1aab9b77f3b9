#pragma once

#include "entry/host_settings.h"
#include "entry/turn_handler.h"
#include "lending/lending.h"
#include "members/members.h"
#include "platform/platform_store.h"
#include "store/paced_store.h"

#include <functional>
#include <random>

namespace azurehill {

/// \brief Serves clients: finds a request's route and has it answered by that route's kind. Owns
/// what the traffic thread needs, and takes in what the control thread learns.
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

    void setRoutes(routing_config_ptr routes);
    void setReplicas(const std::vector<replica_entry> &listed);
    /// \param alive daemons that live, this one included.
    void setPeers(std::vector<endpoint> reachingStore, int alive);
    /// \brief Takes in this daemon's word of itself and the others that live.
    void setMembers(member_state self, std::vector<member_state> others);
    /// \brief Takes in what some of the other daemons told lately of their places at the engines.
    void mergeAdmissionReports(const std::vector<concurrency_reports> &heard);
    /// \brief Takes in what some of the other daemons told lately of replicas.
    void mergeReplicaReports(const std::vector<replica_reports> &heard);
    /// \brief Calls \p tell now and then with what this daemon tells of replicas.
    void onReplicaReports(std::function<void(replica_reports)> tell)
    {
        m_publishReplicaReport = std::move(tell);
    }
    /// \brief Calls \p tell now and then with what this daemon tells of its places.
    void onAdmissionReports(std::function<void(concurrency_reports)> tell)
    {
        m_publishAdmissionReport = std::move(tell);
    }

    /// \brief Gives up what only a daemon that goes on may hold, by \p latest at the latest.
    awaitable<void> release(time_point latest) { return m_credits.release(latest); }

private:
    awaitable<void> serve(const http_request &request, response_writer &writer);
    /// \brief Decodes \p request and finds its route, or answers it.
    awaitable<bool> findRoute(entry_call_ptr call, const http_request &request,
                              response_writer &writer);
    /// \brief Borrows the credit that \p call needs, or answers it.
    awaitable<bool> acquireCredit(entry_call_ptr call, response_writer &writer);
    /// \brief Has \p call, which has what it needs, answered by its route's kind.
    awaitable<void> serveRouted(entry_call_ptr call, const http_request &request,
                                response_writer &writer);
    awaitable<void> servePlain(entry_call_ptr call, const http_request &request,
                               response_writer &writer);
    awaitable<void> sweep();
    awaitable<void> removeExpiredRows();
    void publishReports(time_point now);

    static bool mayRetry(const entry_call &call);
    std::string pickService(const route_rule &route);
    void recordAnswered(const entry_call &call);

    host_settings m_settings;
    entry_metrics &m_metrics;
    asio::any_io_executor m_executor;
    std::minstd_rand m_random;
    std::shared_ptr<peer_transport> m_transport;
    platform_store m_store;
    paced_store m_pacedStore;
    turn_ledger m_ledger;
    credit_exchange m_credits;
    replica_load_balancer m_board;
    upstream_sender m_sender;
    engine_admission m_places;
    local_reply_writer m_answers;
    response_relay m_relay;
    turn_handler m_turns;
    http_server m_server;
    routing_config_ptr m_routes;
    int m_daemons = 1;
    std::function<void(concurrency_reports)> m_publishAdmissionReport;
    std::function<void(replica_reports)> m_publishReplicaReport;
    time_point m_reportsPublishedAt;
};

} // namespace azurehill
