#include "members/membership_protocol.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Members pinged per round. With three, a given member is pinged by no daemon in one round out of
/// twenty, whatever the number of daemons; and fifteen pings and as many acks a second stay under
/// 6 KB.
constexpr std::size_t probesPerRound = 3;
/// Members pinged per round in the first rounds after a start, when nothing is known of the others.
constexpr std::size_t probesAtStart = 8;
constexpr int startRounds = 10;
/// Members asked to ping a member that did not answer. With one datagram in twenty lost, one in
/// 10,000 unanswered pings leads to a false suspicion.
constexpr std::size_t indirectProbeCount = 3;
/// Rounds without an ack until indirect probes are requested, and until the member is suspected.
/// A host that pauses for one round is not suspected.
constexpr int roundsUntilIndirect = 1;
constexpr int roundsUntilSuspect = 2;
/// Time until a suspected member is declared dead. An update reaches all daemons in three to four
/// rounds, and the refutation takes as many to come back. A longer timeout would keep the callers
/// of a dead member waiting.
constexpr duration suspicionTimeout = milliseconds(600);
/// At 130 bytes per update, a message stays under 4 KB even while hundreds of daemons start at
/// once; without updates it has some 100 bytes.
constexpr std::size_t maxUpdatesPerMessage = 28;
/// Members that a stopping daemon notifies directly; gossip reaches the others within two rounds.
constexpr std::size_t leaveFanout = 40;
/// A longer interval between rounds means that this daemon itself was paused.
constexpr duration lateRoundThreshold = 2 * membership_protocol::round;
/// Without any message for this long, a daemon assumes that it is cut off itself: normally it
/// receives at least six per round, three acks and the pings of others.
constexpr duration isolationTimeout = 2 * membership_protocol::round;

} // namespace

membership_protocol::membership_protocol(member_state self, std::uint64_t seed)
    : m_self(std::move(self)), m_random(static_cast<std::uint_fast32_t>(seed))
{
    m_self.version = std::max<std::uint64_t>(1, m_self.version);
    m_updates.add(m_self.name);
}

void membership_protocol::setSelf(bool isServing, bool isStoreReachable)
{
    if (m_self.serving == isServing && m_self.storeReachable == isStoreReachable)
        return;
    m_self.serving = isServing;
    m_self.storeReachable = isStoreReachable;
    ++m_self.version;
    m_updates.add(m_self.name);
}

void membership_protocol::setReplicaDigest(const table_digest &digest, time_point now)
{
    m_replicas = digest;
    m_replicasAt = now;
}

std::optional<table_digest> membership_protocol::replicasAt(time_point now) const
{
    if (!m_replicas)
        return std::nullopt;
    table_digest digest = *m_replicas;
    digest.age += now - m_replicasAt;
    return digest;
}

void membership_protocol::onStoredMember(const member_state &state, time_point now)
{
    if (state.name != m_self.name) {
        m_members.onStoredMember(state, now);
        return;
    }
    if (state.incarnation <= m_self.incarnation)
        return;
    m_self.incarnation = state.incarnation + 1;
    m_updates.add(m_self.name);
}

probe_message membership_protocol::messageWithoutUpdates(probe_kind kind,
                                                         std::uint64_t sequence) const
{
    probe_message m;
    m.kind = kind;
    m.sequence = sequence;
    m.sender = m_self.name;
    m.incarnation = m_self.incarnation;
    m.version = m_self.version;
    m.demandReports = m_demandReports;
    m.replicaReports = m_replicaReports;
    return m;
}

probe_message membership_protocol::message(probe_kind kind, std::uint64_t sequence)
{
    probe_message m = messageWithoutUpdates(kind, sequence);
    for (const daemon_id &name : m_updates.take(maxUpdatesPerMessage)) {
        if (name == m_self.name)
            m.updates.push_back({m_self, member_health::Alive});
        else if (const auto *known = m_members.find(name))
            m.updates.push_back(known->update);
    }
    return m;
}

probe_message membership_protocol::joinMessage()
{
    probe_message m = message(probe_kind::Ping, 0);
    m.requestsState = true;
    return m;
}

member_list::selection membership_protocol::pick(member_list::selection candidates,
                                                 std::size_t count)
{
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

std::vector<daemon_id> membership_protocol::nextTargets()
{
    const std::size_t targetCount = m_rounds < startRounds ? probesAtStart : probesPerRound;
    std::vector<daemon_id> next;
    bool isRefilled = false;
    while (next.size() < targetCount) {
        if (m_targets.empty()) {
            if (isRefilled)
                break;
            isRefilled = true;
            for (const member_state *m : m_members.healthy())
                m_targets.push_back(m->name);
            std::shuffle(m_targets.begin(), m_targets.end(), m_random);
            continue;
        }
        const daemon_id name = m_targets.back();
        m_targets.pop_back();
        const auto *known = m_members.find(name);
        const bool isChosen = std::find(next.begin(), next.end(), name) != next.end();
        if (known && known->isHealthy() && !isChosen)
            next.push_back(name);
    }
    return next;
}

void membership_protocol::refute(const member_state &refuted)
{
    if (refuted.incarnation != m_self.incarnation || refuted.version < m_self.version)
        return;
    m_self.version = refuted.version + 1;
    m_updates.add(m_self.name);
}

void membership_protocol::mergeUpdate(const member_update &update, time_point now)
{
    if (update.state.name == m_self.name) {
        if (update.health != member_health::Alive)
            refute(update.state);
        return;
    }
    if (m_members.apply(update, now + suspicionTimeout))
        m_updates.add(update.state.name);
}

bool membership_protocol::isIsolated(time_point now) const
{
    return now - m_lastMessageAt > isolationTimeout;
}

void membership_protocol::suspect(const daemon_id &name, time_point now)
{
    const auto *known = m_members.find(name);
    if (!known || !known->isHealthy())
        return;
    const member_update update{known->update.state, member_health::Suspect};
    m_members.apply(update, now + suspicionTimeout);
    // A daemon that can send but not receive would keep suspecting all others in turn, and each
    // would have to refute that: 30 KB a second at each of 300 daemons in the replay test.
    if (!isIsolated(now))
        m_updates.add(name);
}

void membership_protocol::requestIndirectProbes(std::uint64_t sequence, const probe &p,
                                                std::vector<probe_datagram> &out)
{
    const auto *known = m_members.find(p.target);
    if (!known)
        return;
    const endpoint target = known->update.state.gossip;
    out.push_back({target, messageWithoutUpdates(probe_kind::Ping, sequence)});
    member_list::selection others = m_members.healthy();
    std::erase_if(others, [&](const member_state *m) { return m->name == p.target; });
    for (const member_state *other : pick(std::move(others), indirectProbeCount)) {
        probe_message m = message(probe_kind::IndirectPing, sequence);
        m.target = target;
        out.push_back({other->gossip, std::move(m)});
    }
}

void membership_protocol::checkProbes(std::vector<probe_datagram> &out, time_point now)
{
    for (auto &[sequence, relayed] : m_relayed)
        ++relayed.rounds;
    std::erase_if(m_relayed,
                  [](const auto &item) { return item.second.rounds > roundsUntilSuspect; });
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        probe &p = it->second;
        ++p.rounds;
        if (p.rounds == roundsUntilIndirect)
            requestIndirectProbes(it->first, p, out);
        if (p.rounds < roundsUntilSuspect) {
            ++it;
            continue;
        }
        suspect(p.target, now);
        it = m_probes.erase(it);
    }
}

void membership_protocol::probeNext(std::vector<probe_datagram> &out, time_point now)
{
    const std::vector<daemon_id> targets = nextTargets();
    for (const daemon_id &name : targets) {
        m_probes[++m_lastSequence] = {name, now, 0};
        const endpoint to = m_members.find(name)->update.state.gossip;
        out.push_back({to, message(probe_kind::Ping, m_lastSequence)});
    }
    // Unhealthy members may have recovered, or be reachable again after a network partition: one is
    // pinged per round, and at start as many as fill up the round's probes. These pings carry no
    // updates, whose transmissions would be wasted if the member is dead.
    const std::size_t silentProbeCount
        = m_rounds < startRounds ? probesAtStart - targets.size() : 1;
    for (const member_state *m : pick(m_members.unhealthy(), silentProbeCount))
        out.push_back({m->gossip, messageWithoutUpdates(probe_kind::Ping, ++m_lastSequence)});
}

std::vector<probe_datagram> membership_protocol::onRound(time_point now)
{
    std::vector<probe_datagram> out;
    const duration sinceLastRound = m_lastRound ? now - *m_lastRound : round;
    m_lastRound = now;
    // After a pause of this daemon, unanswered pings and expired suspicion timeouts say nothing
    // about the other daemons.
    if (sinceLastRound > lateRoundThreshold) {
        m_probes.clear();
        m_members.extendSuspicions(sinceLastRound);
    }
    checkProbes(out, now);
    for (const daemon_id &name : m_members.expire(now)) {
        if (!isIsolated(now))
            m_updates.add(name);
    }
    m_gossipReports.expire(now);
    probeNext(out, now);
    ++m_rounds;
    return out;
}

void membership_protocol::onAck(const probe_message &m, std::vector<probe_datagram> &out)
{
    const auto answered = m_probes.extract(m.sequence);
    const auto *sender = m_members.find(m.sender);
    // The sender of a relayed ack is the relay: a digest would be the relay's, and requested later.
    const bool isDirect = answered && answered.mapped().target == m.sender;
    if (isDirect && m.replicas && sender)
        m_digests.push_back({sender->update.state.peers, *m.replicas, answered.mapped().sentAt});
    const auto relayed = m_relayed.extract(m.sequence);
    if (relayed)
        out.push_back(
            {relayed.mapped().asker, message(probe_kind::Ack, relayed.mapped().sequence)});
}

std::vector<probe_datagram> membership_protocol::onMessage(const probe_message &m,
                                                           const endpoint &from, time_point now)
{
    std::vector<probe_datagram> out;
    for (const member_update &update : m.updates)
        mergeUpdate(update, now);
    if (m.sender == m_self.name)
        return out;
    m_lastMessageAt = now;
    const bool isKnown = m_members.onMessageFrom(m.sender, m.incarnation, m.version);
    m_gossipReports.onReports(m.sender, m.demandReports, m.replicaReports, now);
    const auto *sender = m_members.find(m.sender);
    const bool isSuspected = isKnown && !sender->isHealthy();
    if (m.kind == probe_kind::IndirectPing && m.target) {
        m_relayed[++m_lastSequence] = {from, m.sequence};
        out.push_back({*m.target, messageWithoutUpdates(probe_kind::Ping, m_lastSequence)});
    }
    if (m.kind == probe_kind::Ack)
        onAck(m, out);
    // An unsolicited message is answered only if it requests this daemon's state, and the answer
    // requests nothing: two daemons that suspect each other would otherwise exchange messages
    // endlessly.
    const bool isUnsolicited = m.kind == probe_kind::Ack && m.sequence == 0;
    const bool needsAnswer = !isUnsolicited && (!isKnown || isSuspected);
    if (m.kind != probe_kind::Ping && !m.requestsState && !needsAnswer)
        return out;
    probe_message answer = message(probe_kind::Ack, m.kind == probe_kind::Ping ? m.sequence : 0);
    answer.requestsState = !isKnown && !isUnsolicited;
    if (m.kind == probe_kind::Ping)
        answer.replicas = replicasAt(now);
    if (m.requestsState)
        answer.updates.push_back({m_self, member_health::Alive});
    // The sender has to learn that it is suspected in order to refute that.
    if (isSuspected)
        answer.updates.push_back(sender->update);
    out.push_back({from, std::move(answer)});
    return out;
}

std::vector<probe_datagram> membership_protocol::leave()
{
    m_self.serving = false;
    ++m_self.version;
    m_updates.add(m_self.name);
    std::vector<probe_datagram> out;
    for (const member_state *m : pick(m_members.healthy(), leaveFanout)) {
        probe_message notice = message(probe_kind::Ack, 0);
        notice.updates.push_back({m_self, member_health::Alive});
        out.push_back({m->gossip, std::move(notice)});
    }
    return out;
}

} // namespace azurehill
