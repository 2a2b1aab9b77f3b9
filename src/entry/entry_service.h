#pragma once

#include "entry/host_settings.h"
#include "entry/replica_prober.h"
#include "entry/shutdown_schedule.h"
#include "entry/turn_handler.h"
#include "lending/lending.h"
#include "members/members.h"
#include "platform/platform_store.h"
#include "slots/slots.h"
#include "store/paced_store.h"

#include <functional>
#include <optional>
#include <random>
#include <set>

namespace azurehill {

/// \brief Request handler for clients: finds the route of a request and dispatches the request by
/// the kind of that route. Owns the state of the traffic thread, and receives what the control
/// thread learns.
class entry_service
{
public:
    /// \param memory account of what the connections of the process hold; if it is null, the
    /// service has one of its own.
    entry_service(asio::io_context &context, const host_settings &settings, entry_metrics &metrics,
                  std::shared_ptr<memory_account> memory = nullptr);

    /// \brief Starts to listen for clients.
    /// \returns the port, or 0 if the address can't be bound.
    std::uint16_t start();
    /// \brief Begins a graceful stop. Clients are asked to close their connections; requests that
    /// could be aborted by the stop are refused, those that wait for their first send among them.
    void beginShutdown(const shutdown_schedule &schedule);
    /// \brief Aborts all requests in progress. Those that were not sent are refused.
    void abortRequests();
    /// \brief Stops taking requests if none is in progress. May be called from any thread.
    /// \returns whether no request is taken any more.
    bool closeIfIdle() { return m_server.closeIfIdle(); }
    /// \returns the number of requests being answered. May be called from any thread.
    int requestsInProgress() const { return m_server.requestsInProgress(); }

    /// \brief Applies the limits of new settings.
    void setSettings(const host_settings &settings);
    void setRoutes(routing_config_ptr routes);
    void setReplicas(const std::vector<replica_entry> &listed);
    /// \brief Sets whether the entries are too old to send requests by them.
    void setReplicasOutdated(bool isOutdated) { m_loadBalancer.setOutdated(isOutdated); }
    /// \param alive number of live daemons, this one included.
    void setPeers(std::vector<endpoint> reachingStore, int alive);
    /// \brief Sets the member state of this daemon and those of the other live members.
    void setMembers(member_state self, std::vector<member_state> others);
    /// \brief Merges recent admission reports of some of the other daemons.
    void mergeAdmissionReports(const std::vector<concurrency_reports> &reports);
    /// \brief Merges recent replica reports of some of the other daemons.
    void mergeReplicaReports(const std::vector<replica_reports> &reports);
    /// \brief Sets the callback that periodically gets this daemon's replica report.
    void onReplicaReports(std::function<void(replica_reports)> publish)
    {
        m_publishReplicaReport = std::move(publish);
    }
    /// \brief Sets the callback that periodically gets this daemon's admission report.
    void onAdmissionReports(std::function<void(concurrency_reports)> publish)
    {
        m_publishAdmissionReport = std::move(publish);
    }

    /// \brief Sets the callback for the moment from which this daemon decides on requests: it has
    /// read the evidence against them. Call it before start().
    void onQuarantineRestored(std::function<void()> callback)
    {
        m_onQuarantineRestored = std::move(callback);
    }

    /// \returns the requests that may not be sent, as JSON text: fingerprint, age in milliseconds
    /// and the number of replicas that ended under each. Call it on the traffic thread.
    std::string quarantineText() const;
    /// \brief Lifts the quarantine of the request with \p fingerprint on all daemons. Call it on
    /// the traffic thread. \returns whether anything was known of it.
    bool liftQuarantine(const request_fingerprint &fingerprint);

    /// \brief Stops lending credits, which only a daemon that keeps running may do, and writes the
    /// tokens used in place of the holds; gives up at \p deadline.
    awaitable<void> release(time_point deadline);
    /// \brief Writes the tokens used in place of the holds that requests made after release(), and
    /// waits for such writes in progress; gives up at \p deadline.
    awaitable<void> returnHolds(time_point deadline);

private:
    /// \brief Applies the shares of the process's memory and descriptors.
    void applyProcessLimits();
    void updateClientLimits();
    /// \brief Logs if the account of the connections was short since the last call.
    void logMemoryShortage(time_point now);
    awaitable<void> serve(const http_request &request, response_writer &writer);
    /// \brief Serves \p call, which has its route, its service and its deadline.
    awaitable<void> serveAllowed(entry_call_ptr call, const http_request &request,
                                 response_writer &writer);
    /// \returns whether \p call is certain to end before this daemon does.
    bool endsBeforeShutdown(const entry_call &call) const;
    /// \brief Decodes \p request and finds its route.
    /// \returns whether it may be served; otherwise it was answered.
    awaitable<bool> findRoute(entry_call_ptr call, const http_request &request,
                              response_writer &writer);
    /// \brief Checks whether \p call may be sent to a replica at all.
    /// \returns whether it may; otherwise it was answered.
    awaitable<bool> passesQuarantine(entry_call_ptr call, response_writer &writer);
    /// \brief Borrows the credit that \p call needs.
    /// \returns whether it may be served; otherwise it was answered, unless its client has
    /// disconnected.
    awaitable<bool> acquireCredit(entry_call_ptr call, response_writer &writer);
    /// \brief Dispatches \p call, which has its route and its credit, by the kind of its route.
    awaitable<void> serveRouted(entry_call_ptr call, const http_request &request,
                                response_writer &writer);
    awaitable<void> servePlain(entry_call_ptr call, const http_request &request,
                               response_writer &writer);
    awaitable<void> sweep();
    awaitable<void> removeExpiredRows();
    void publishReports(time_point now);
    /// \brief Passes the replicas of the dispatched services to the slot exchange.
    void updateDispatchedReplicas();

    static bool mayRetry(const entry_call &call);
    std::string pickService(const route_rule &route);
    /// \param isComplete whether a complete response was written.
    void recordAnswered(const entry_call &call, bool isComplete);

    host_settings m_settings;
    entry_metrics &m_metrics;
    asio::any_io_executor m_executor;
    std::minstd_rand m_random;
    std::shared_ptr<peer_transport> m_transport;
    platform_store m_store;
    paced_store m_pacedStore;
    turn_ledger m_ledger;
    budget_holder m_budgets;
    slot_exchange m_slots;
    credit_exchange m_credits;
    request_quarantine m_quarantine;
    replica_load_balancer m_loadBalancer;
    replica_prober m_prober;
    upstream_sender m_sender;
    engine_admission m_engineAdmission;
    local_reply_writer m_localReplies;
    response_relay m_relay;
    turn_handler m_turns;
    std::shared_ptr<memory_account> m_memory;
    std::int64_t m_loggedShortages = 0;
    time_point m_shortageLoggedAt;
    http_server m_server;
    routing_config_ptr m_routes;
    std::set<entry_call_ptr> m_calls;
    std::optional<shutdown_schedule> m_shutdown;
    int m_daemons = 1;
    std::function<void(concurrency_reports)> m_publishAdmissionReport;
    std::function<void(replica_reports)> m_publishReplicaReport;
    std::function<void()> m_onQuarantineRestored;
    time_point m_reportsPublishedAt;
    time_point m_quarantineMeasuredAt;
};

} // namespace azurehill
