#pragma once

#include "members/gossip_reports.h"
#include "members/member_list.h"
#include "members/probe_message.h"
#include "members/update_queue.h"

#include <random>
#include <utility>

namespace azurehill {

/// \brief An outgoing message and its destination.
struct probe_datagram
{
    endpoint to;
    probe_message message;
};

/// \brief Digest of a live peer's copy of the replica table.
struct peer_digest
{
    /// Address at which the peer serves other daemons.
    endpoint peer;
    table_digest digest;
    /// When this daemon sent the ping; the digest is no older.
    time_point askedAt;
};

/// \brief SWIM failure detector with gossip dissemination of membership updates.
///
/// In each round a daemon pings a few others. One that does not answer is pinged again, directly
/// and through others; if that fails as well it is suspected, and declared dead unless it refutes
/// the suspicion in time. Updates are piggybacked on pings and acks, so the cost per daemon does
/// not depend on the number of daemons. A single broken link, or a prober that is cut off, does not
/// get a live daemon declared dead.
///
/// Performs no I/O: it is driven by received messages and the current time, and returns the
/// messages to send.
class membership_protocol
{
public:
    /// Interval between calls of onRound().
    static constexpr duration round = milliseconds(200);

    membership_protocol(member_state self, std::uint64_t seed);

    const member_state &self() const { return m_self; }
    /// \brief Publishes whether callers may be directed to this daemon, and whether it reaches the
    /// store.
    void setSelf(bool isServing, bool isStoreReachable);
    /// \brief Sets the reports of this daemon's demand for engine slots that its messages carry.
    void setDemandReports(concurrency_reports reports) { m_demandReports = std::move(reports); }
    /// \brief Sets the reports of replica health that this daemon's messages carry.
    void setReplicaReports(replica_reports reports) { m_replicaReports = std::move(reports); }

    /// \brief Sets the digest of this daemon's copy of the replica table, with its age at \p now.
    void setReplicaDigest(const table_digest &digest, time_point now);

    /// \brief Adds a member that has a row in the store. If the row has this daemon's own name,
    /// left by an earlier run, this run takes a larger incarnation, even if the clock was set back.
    void onStoredMember(const member_state &state, time_point now);
    /// \brief Starts a round. \returns the messages to send.
    std::vector<probe_datagram> onRound(time_point now);
    /// \brief Processes a message received from \p from. \returns the messages to send.
    std::vector<probe_datagram> onMessage(const probe_message &message, const endpoint &from,
                                          time_point now);
    /// \brief Announces that this daemon stops. \returns the messages to send.
    std::vector<probe_datagram> leave();
    /// \returns the first message to a daemon of which only the address is known.
    probe_message joinMessage();

    const member_list &members() const { return m_members; }
    /// \returns recent reports of other daemons' demand for engine slots.
    std::vector<concurrency_reports> receivedDemandReports() const
    {
        return m_gossipReports.demandReports();
    }
    /// \returns recent reports of other daemons on replica health.
    std::vector<replica_reports> receivedReplicaReports() const
    {
        return m_gossipReports.replicaReports();
    }
    /// \returns the members that became alive or dead since the last call.
    std::vector<member_change> takeChanges() { return m_members.takeChanges(); }
    /// \returns the digests of other daemons' replica tables received since the last call.
    std::vector<peer_digest> takeDigests() { return std::exchange(m_digests, {}); }

private:
    /// \brief A ping that awaits its ack.
    struct probe
    {
        daemon_id target;
        time_point sentAt;
        int rounds = 0;
    };
    /// \brief A ping sent on behalf of another daemon.
    struct relayed_ping
    {
        endpoint asker;
        std::uint64_t sequence = 0;
        int rounds = 0;
    };

    /// \returns a message with queued membership updates, and counts these as sent once more.
    probe_message message(probe_kind kind, std::uint64_t sequence);
    /// \returns a message without membership updates, for a receiver that may be dead.
    probe_message messageWithoutUpdates(probe_kind kind, std::uint64_t sequence) const;
    /// \returns up to \p count random members of \p candidates.
    member_list::selection pick(member_list::selection candidates, std::size_t count);
    std::vector<daemon_id> nextTargets();
    void mergeUpdate(const member_update &update, time_point now);
    void refute(const member_state &refuted);
    /// \returns whether this daemon has received no message for so long that it is presumably cut
    /// off itself.
    bool isIsolated(time_point now) const;
    void suspect(const daemon_id &name, time_point now);
    void checkProbes(std::vector<probe_datagram> &out, time_point now);
    void requestIndirectProbes(std::uint64_t sequence, const probe &p,
                               std::vector<probe_datagram> &out);
    void probeNext(std::vector<probe_datagram> &out, time_point now);
    void onAck(const probe_message &message, std::vector<probe_datagram> &out);
    std::optional<table_digest> replicasAt(time_point now) const;

    member_state m_self;
    std::minstd_rand m_random;
    member_list m_members;
    update_queue m_updates;
    gossip_reports m_gossipReports;
    concurrency_reports m_demandReports;
    replica_reports m_replicaReports;
    std::optional<table_digest> m_replicas;
    /// When \c m_replicas was set; its age is relative to this time.
    time_point m_replicasAt;
    std::vector<peer_digest> m_digests;
    std::map<std::uint64_t, probe> m_probes;
    std::map<std::uint64_t, relayed_ping> m_relayed;
    std::uint64_t m_lastSequence = 0;
    /// Members still to be pinged in the current pass, in random order and each once.
    std::vector<daemon_id> m_targets;
    std::optional<time_point> m_lastRound;
    /// When the last message from another daemon was received.
    time_point m_lastMessageAt;
    int m_rounds = 0;
};

} // namespace azurehill
