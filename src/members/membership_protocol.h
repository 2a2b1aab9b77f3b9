#pragma once

#include "members/gossip_reports.h"
#include "members/member_list.h"
#include "members/probe_message.h"
#include "members/update_queue.h"

#include <random>
#include <utility>

namespace azurehill {

/// \brief A message and where it goes.
struct probe_datagram
{
    endpoint to;
    probe_message message;
};

/// \brief What a living daemon told of its copy of the replicas' entries.
struct peer_digest
{
    /// Where that daemon answers other daemons.
    endpoint peer;
    table_digest digest;
    /// When this daemon asked: the digest is at least as young.
    time_point askedAt;
};

/// \brief Finds out which daemons live by probes, and passes on what changed (SWIM).
///
/// In each round a daemon pings a few others. One that does not answer is asked again, directly and
/// through others; if that fails as well it is suspected, and gone if it does not refute that in
/// time. News travels with the pings and their answers, so a daemon's cost is the same whatever
/// their number, and silence of one link or of the daemon that probes makes nobody dead.
///
/// It does no input or output: messages and the time go in, messages come out.
class membership_protocol
{
public:
    /// Time from one call of onRound() to the next.
    static constexpr duration round = milliseconds(200);

    membership_protocol(member_state self, std::uint64_t seed);

    const member_state &self() const { return m_self; }
    /// \brief Takes in whether callers may be sent here, and whether this daemon reaches the store.
    void setSelf(bool isServing, bool isStoreReachable);
    /// \brief Takes in what this daemon tells the others of its places at the engines.
    void setDemandReports(concurrency_reports words) { m_words = std::move(words); }
    /// \brief Takes in what this daemon tells the others of replicas.
    void setReplicaWords(replica_reports words) { m_replicaWords = std::move(words); }

    /// \brief Takes in this daemon's copy of the replicas' entries; its age goes on from \p now.
    void setReplicas(const table_digest &digest, time_point now);

    /// \brief Takes in a member that the store names. A row of this daemon's own name that an
    /// earlier run left has this run tell a larger incarnation, also if the clock went back.
    void onStoredMember(const member_state &state, time_point now);
    /// \brief Begins a round. \returns the messages to send.
    std::vector<probe_datagram> onRound(time_point now);
    /// \brief Takes in a message that came from \p from. \returns the messages to send.
    std::vector<probe_datagram> onMessage(const probe_message &message, const endpoint &from,
                                          time_point now);
    /// \brief This daemon stops. \returns the messages that tell some others at once.
    std::vector<probe_datagram> leave();
    /// \returns a message for a daemon of which only the address is known.
    probe_message joinMessage();

    const member_list &members() const { return m_members; }
    /// \returns what other daemons told lately of their places at the engines.
    std::vector<concurrency_reports> demandReportsHeard() const { return m_gossipReports.heard(); }
    /// \returns what other daemons told lately of replicas.
    std::vector<replica_reports> replicaReportsHeard() const
    {
        return m_gossipReports.replicaReports();
    }
    /// \returns the members that came or went since the last call.
    std::vector<member_change> takeChanges() { return m_members.takeChanges(); }
    /// \returns what came of other daemons' copies since the last call.
    std::vector<peer_digest> takeDigests() { return std::exchange(m_digests, {}); }

private:
    /// \brief A ping that was not answered yet.
    struct probe
    {
        daemon_id target;
        time_point sentAt;
        int rounds = 0;
    };
    /// \brief A ping that was made for another daemon.
    struct relayed_ping
    {
        endpoint asker;
        std::uint64_t sequence = 0;
        int rounds = 0;
    };

    /// \returns a message with news of members, which counts as sent to one more.
    probe_message message(probe_kind kind, std::uint64_t sequence);
    /// \returns a message without news, for a receiver that may be gone.
    probe_message messageWithoutUpdates(probe_kind kind, std::uint64_t sequence) const;
    /// \returns up to \p count members by chance out of \p candidates.
    member_list::selection pick(member_list::selection candidates, std::size_t count);
    std::vector<daemon_id> nextTargets();
    void learn(const member_update &news, time_point now);
    void refute(const member_state &said);
    /// \returns whether no message has come for so long that this daemon is cut off itself.
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
    concurrency_reports m_words;
    replica_reports m_replicaWords;
    std::optional<table_digest> m_replicas;
    /// When \c m_replicas had the age that it tells.
    time_point m_replicasAt;
    std::vector<peer_digest> m_digests;
    std::map<std::uint64_t, probe> m_probes;
    std::map<std::uint64_t, relayed_ping> m_relayed;
    std::uint64_t m_lastSequence = 0;
    /// Members that this daemon pings next, in an order by chance that names each once.
    std::vector<daemon_id> m_targets;
    std::optional<time_point> m_lastRound;
    /// When the last message of another daemon came.
    time_point m_heardAt;
    int m_rounds = 0;
};

} // namespace azurehill
