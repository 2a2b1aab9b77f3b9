#pragma once

#include "entry/entry_metrics.h"
#include "entry/host_settings.h"
#include "entry/replica_discovery.h"
#include "http/http_server.h"
#include "members/members.h"
#include "platform/platform_store.h"
#include "replicas/replicas.h"
#include "routes/routes.h"
#include "rows/unreadable_row_log.h"

#include <functional>
#include <memory>
#include <random>

namespace azurehill {

/// \brief Callbacks by which the control thread passes its state to the traffic thread. All of them
/// are called on the control thread.
struct control_events
{
    std::function<void(routing_config_ptr)> onRoutes;
    std::function<void(std::vector<replica_entry>)> onReplicas;
    /// Whether the entries of the replicas have become, or are no longer, too old to send requests
    /// by them.
    std::function<void(bool)> onReplicasOutdated;
    /// Addresses of the peers that reach the store, and the number of live daemons, this one
    /// included.
    std::function<void(std::vector<endpoint>, int)> onPeers;
    /// Member state of this daemon and those of the other live members.
    std::function<void(member_state, std::vector<member_state>)> onMembers;
    /// Recent admission reports of some of the other live daemons.
    std::function<void(std::vector<concurrency_reports>)> onAdmissionReports;
    /// Recent replica reports of some of the other daemons; called only if there are any.
    std::function<void(std::vector<replica_reports>)> onReplicaReports;
};

/// \brief Ports on which the control thread listens.
struct control_ports
{
    std::uint16_t readiness = 0;
    std::uint16_t lookups = 0;
    std::uint16_t peers = 0;
};

/// \brief Control plane of a daemon: follows the configuration, the replicas and the membership of
/// the system, and answers look-ups and readiness checks. Lives on the control thread.
class entry_control
{
public:
    /// \param memory account of what the connections of the process hold; if it is null, the
    /// control plane has one of its own.
    entry_control(asio::io_context &context, const host_settings &settings, control_events events,
                  std::shared_ptr<memory_account> memory = nullptr);

    /// \brief Starts to listen and to follow the store.
    /// \returns the ports, or nothing if an address can't be bound.
    std::optional<control_ports> start();
    /// \brief Withdraws this daemon from look-ups and the readiness check, and announces that to
    /// the other daemons.
    void leave();
    /// \brief Removes the daemon's row from the store; gives up at \p deadline.
    awaitable<void> unregister(time_point deadline);
    /// \brief Sets the admission report that is sent to the other daemons.
    void setAdmissionReport(concurrency_reports report);
    /// \brief Sets the replica report that is sent to the other daemons.
    void setReplicaReport(replica_reports report);
    /// \brief The traffic thread has read the evidence against requests, without which it serves
    /// none. The daemon is not ready before.
    void setQuarantineRestored() { m_isQuarantineRestored = true; }
    /// \brief Applies the bounds, limits and times of new settings. Addresses stay as they are.
    void setSettings(const host_settings &settings);
    /// \returns the current state of the daemon for the metrics.
    entry_gauges gauges() const;
    bool isLeaving() const { return m_isLeaving; }
    /// \returns the time between SIGTERM and SIGKILL by the current settings.
    duration grace() const { return m_settings.grace; }

private:
    awaitable<void> handleRequest(const http_request &request, response_writer &writer);
    awaitable<void> handlePeerRequest(const http_request &request, response_writer &writer);
    http_response answerLookup();

    awaitable<void> followConfiguration();
    awaitable<void> pollConfiguration();
    awaitable<void> readConfiguration();
    awaitable<void> pollMembers();
    awaitable<bool> readMembers();
    awaitable<bool> registerSelf();
    awaitable<void> gossip();

    void adoptConfiguration(const stored_row &row, std::string_view source);
    void applyMemberRow(const stored_row &row);
    void publishPeers();
    void publishMembers();
    void forwardPeerReports() const;
    /// \returns the delay until this daemon reads the member rows again.
    duration membersReadDelay();
    void onGossip(const probe_message &message, const endpoint &from);
    /// \brief Passes the number of daemons that share the reads of the replica table to replica
    /// discovery.
    void updateDaemonCount();
    /// \brief Passes the digest of this daemon's copy of the replica table to the membership
    /// protocol, which sends it to the other daemons.
    void updateReplicaDigest();
    /// \brief Logs members that joined or failed. \returns whether there were any.
    bool logMembers();
    void send(const std::vector<probe_datagram> &datagrams);

    asio::io_context &m_context;
    host_settings m_settings;
    control_events m_events;
    std::shared_ptr<peer_transport> m_transport;
    platform_store m_store;
    std::shared_ptr<memory_account> m_memory;
    http_server m_readinessServer;
    http_server m_lookupServer;
    http_server m_peerServer;
    membership_protocol m_membership;
    std::minstd_rand m_random;
    gossip_socket m_gossip;
    routing_config_ptr m_routes;
    replica_discovery m_replicas;
    unreadable_row_log m_unreadable;
    std::vector<endpoint> m_peersReachingStore;
    int m_aliveCount = 0;
    std::vector<member_state> m_lastPublishedMembers;
    /// Whether the store's rows were read, so that no earlier run of this daemon has a larger
    /// incarnation.
    bool m_isIncarnationFinal = false;
    bool m_isQuarantineRestored = false;
    bool m_isLeaving = false;
};

} // namespace azurehill
