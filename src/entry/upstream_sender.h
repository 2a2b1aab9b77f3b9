#pragma once

#include "entry/entry_call.h"
#include "entry/entry_metrics.h"
#include "http/connection_pool.h"
#include "replicas/replicas.h"

#include <set>

namespace azurehill {

/// \brief A replica's answer whose body is still to come.
struct open_reply
{
    placement where;
    response_head head;
    std::shared_ptr<http_connection> connection;
};

/// \brief Why no replica answered.
struct send_failure
{
    send_outcome end = send_outcome::Unreachable;
    std::string detail;
};

/// \returns what \p call needs of a replica.
placement_request placementRequestFor(const entry_call &call);

/// \brief Sends requests to replicas: chooses one, keeps connections, judges the head of the answer
/// and tries another replica where that is certainly allowed. Used on the traffic thread.
class upstream_sender
{
public:
    upstream_sender(const asio::any_io_executor &executor, replica_load_balancer &board,
                    entry_metrics &metrics);

    /// \brief Sends \p call to replicas until one answers.
    /// \param wanted what is asked of a replica; the replicas that were tried are added to it.
    /// \param original the client's request.
    /// \param body what the replica is to read.
    awaitable<tl::expected<open_reply, send_failure>> open(entry_call_ptr call,
                                                           placement_request &wanted,
                                                           const http_request &original,
                                                           std::string body);
    /// \brief Goes on with a stream that broke off after the call's last event.
    ///
    /// The replica that broke off is asked again where the route's attempts are used up; another
    /// one once that replica is over.
    /// \param broken where the stream broke off.
    awaitable<tl::expected<open_reply, send_failure>>
    resume(entry_call_ptr call, placement_request &wanted, placement broken,
           const http_request &original, std::string body);
    /// \brief The answer of \p reply is over. Its connection is kept if it can be.
    void finish(entry_call &call, open_reply &reply, send_outcome end);

    /// \brief Takes in the configuration in force, by which requests are judged once more before
    /// they go out.
    void setRoutes(routing_config_ptr routes) { m_routes = std::move(routes); }

    /// \brief Closes the kept connections to a replica whose process is over. One that crashed may
    /// not have closed them, and a request that may run once only would be lost on them.
    void dropConnections(const replica_entry &ended);

    /// \brief Looks after the sends under way: replicas that went silent, times that are over.
    void sweep(time_point now);
    /// \returns the number of sends under way.
    std::size_t underWay() const { return m_underWay.size(); }

private:
    awaitable<tl::expected<open_reply, send_failure>> sendOnce(entry_call_ptr call, placement where,
                                                               const placement_request &wanted,
                                                               const http_request &original,
                                                               std::string body);
    /// \returns whether the configuration in force still allows \p call, which may have waited
    /// since it was judged.
    bool isStillAllowed(const entry_call &call) const;
    bool isSilent(const entry_call &call, time_point now) const;
    /// \brief Asks whether the silent replica of \p call still takes connections.
    void probeReplica(const entry_call &call);
    /// \brief Opens a connection to \p address. If there is none to be had, the silent sends to
    /// \p who are given up; otherwise they are left to the replica, and the connection is kept.
    awaitable<void> probeByConnecting(replica_incarnation who, endpoint address);

    asio::any_io_executor m_executor;
    replica_load_balancer &m_board;
    entry_metrics &m_metrics;
    connection_pool m_pool;
    routing_config_ptr m_routes;
    std::set<entry_call_ptr> m_underWay;
    /// Silent replicas that are being asked whether they are alive.
    std::set<replica_incarnation> m_probedReplicas;
};

} // namespace azurehill
