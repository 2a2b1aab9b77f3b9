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

/// \brief What the control thread tells the traffic thread. All calls come on the control thread.
struct control_events
{
    std::function<void(routing_config_ptr)> onRoutes;
    std::function<void(std::vector<replica_entry>)> onReplicas;
    /// The addresses of the peers that reach the store, and the number of daemons that live.
    std::function<void(std::vector<endpoint>, int)> onPeers;
    /// This daemon's word of itself and the others that live.
    std::function<void(member_state, std::vector<member_state>)> onMembers;
    /// What some of the other daemons that live told lately of their places at the engines.
    std::function<void(std::vector<concurrency_reports>)> onAdmissionReports;
    /// What some of the other daemons told lately of replicas; called where any did.
    std::function<void(std::vector<replica_reports>)> onReplicaReports;
};

/// \brief Where the control side of a daemon listens.
struct control_ports
{
    std::uint16_t readiness = 0;
    std::uint16_t lookups = 0;
    std::uint16_t peers = 0;
};

/// \brief What a daemon believes of the system: configuration, replicas, members. It answers
/// look-ups and readiness checks. Lives on the control thread.
class entry_control
{
public:
    entry_control(asio::io_context &context, const host_settings &settings, control_events events);

    /// \brief Listens and begins to follow the store.
    /// \returns the ports, or nothing when an address can't be bound.
    std::optional<control_ports> start();
    /// \brief Leaves look-ups and the readiness check, and tells the others.
    void leave();
    /// \brief Takes the daemon's row out of the store, by \p latest at the latest.
    awaitable<void> unregister(time_point latest);
    /// \brief Takes in what this daemon tells the others of its places at the engines.
    void setAdmissionReport(concurrency_reports words);
    /// \brief Takes in what this daemon tells the others of replicas.
    void setReplicaWords(replica_reports words);
    /// \brief Takes over the bounds and times of new settings. Addresses stay as they are.
    void setSettings(const host_settings &settings);
    /// \returns what the daemon believes, for the metrics.
    entry_gauges gauges() const;
    bool isLeaving() const { return m_isLeaving; }

private:
    awaitable<void> answer(const http_request &request, response_writer &writer);
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
    /// \returns the time until this daemon reads the members' rows again.
    duration membersReadDelay();
    void onGossip(const probe_message &message, const endpoint &from);
    /// \brief Has the follower of replicas know how many daemons read by turns.
    void updateDaemonCount();
    /// \brief Has the other daemons hear of the newest copy of the replicas' entries.
    void updateReplicaDigest();
    void logMembers();
    void send(const std::vector<probe_datagram> &datagrams);

    asio::io_context &m_context;
    host_settings m_settings;
    control_events m_events;
    std::shared_ptr<peer_transport> m_transport;
    platform_store m_store;
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
    /// The store's rows were read, so that no earlier run of this daemon has a larger incarnation.
    bool m_isIncarnationFinal = false;
    bool m_isLeaving = false;
};

} // namespace azurehill
