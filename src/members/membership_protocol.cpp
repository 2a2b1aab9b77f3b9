#include "members/membership_protocol.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Members pinged in a round. With three, one in twenty rounds passes in which nobody pings a
/// given member, whatever the number of daemons, and fifteen pings and as many answers a second
/// stay under 6 KB.
constexpr std::size_t probesPerRound = 3;
/// The same for the first rounds after a start, when nothing is known of the others.
constexpr std::size_t probesAtStart = 8;
constexpr int startRounds = 10;
/// Others that are asked to ping a member that did not answer: with one datagram in twenty lost,
/// one suspicion in 10,000 unanswered pings is false.
constexpr std::size_t indirectProbeCount = 3;
/// Rounds without an answer after which others are asked, and after which a member is suspected.
/// A host that pauses for one round loses nothing.
constexpr int roundsUntilIndirect = 1;
constexpr int roundsUntilSuspect = 2;
/// A suspected member is gone after this time. News is everywhere in three to four rounds, and its
/// denial on the way back in as many; but its callers wait for the news of its death meanwhile.
constexpr duration suspicionTimeout = milliseconds(600);
/// News in one message: 130 bytes each, so that a message is under 4 KB also while hundreds of
/// daemons start at once, and some 100 bytes in a calm time.
constexpr std::size_t maxUpdatesPerMessage = 28;
/// Members that a daemon tells at once that it stops; these tell the others within two rounds.
constexpr std::size_t leaveFanout = 40;
/// A round that comes so late says that this daemon itself stood still.
constexpr duration lateRoundThreshold = 2 * membership_protocol::round;
/// Without a message for so long a daemon takes itself for the one that is cut off: six and more
/// come in a round otherwise, three answers and the pings of others.
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

void membership_protocol::setReplicas(const table_digest &digest, time_point now)
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
    m.words = m_words;
    m.replicaWords = m_replicaWords;
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
    const std::size_t wanted = m_rounds < startRounds ? probesAtStart : probesPerRound;
    std::vector<daemon_id> next;
    bool isRefilled = false;
    while (next.size() < wanted) {
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

void membership_protocol::refute(const member_state &said)
{
    if (said.incarnation != m_self.incarnation || said.version < m_self.version)
        return;
    m_self.version = said.version + 1;
    m_updates.add(m_self.name);
}

void membership_protocol::learn(const member_update &news, time_point now)
{
    if (news.state.name == m_self.name) {
        if (news.health != member_health::Alive)
            refute(news.state);
        return;
    }
    if (m_members.apply(news, now + suspicionTimeout))
        m_updates.add(news.state.name);
}

bool membership_protocol::isIsolated(time_point now) const
{
    return now - m_heardAt > isolationTimeout;
}

void membership_protocol::suspect(const daemon_id &name, time_point now)
{
    const auto *known = m_members.find(name);
    if (!known || !known->isHealthy())
        return;
    const member_update news{known->update.state, member_health::Suspect};
    m_members.apply(news, now + suspicionTimeout);
    // A daemon that can still send but hears nobody would accuse all others, by turns and without
    // an end, and each would have to refute it to all: 30 KB a second at each of 300 daemons
    // (replay).
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
    // Silent ones may be back, or on the other side of a cut that is mended: one a round, and at a
    // start as many as there would be others. They get no news, which would be lost with them.
    const std::size_t wanted = m_rounds < startRounds ? probesAtStart - targets.size() : 1;
    for (const member_state *m : pick(m_members.silent(), wanted))
        out.push_back({m->gossip, messageWithoutUpdates(probe_kind::Ping, ++m_lastSequence)});
}

std::vector<probe_datagram> membership_protocol::onRound(time_point now)
{
    std::vector<probe_datagram> out;
    const duration pause = m_lastRound ? now - *m_lastRound : round;
    m_lastRound = now;
    // A daemon that stood still finds all its pings unanswered, and its watch over suspected
    // members run out: that says nothing of the others.
    if (pause > lateRoundThreshold) {
        m_probes.clear();
        m_members.extendSuspicions(pause);
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
    // An answer that came through another daemon has that one's digest, and was asked for later.
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
    for (const member_update &news : m.updates)
        learn(news, now);
    if (m.sender == m_self.name)
        return out;
    m_heardAt = now;
    const bool isKnown = m_members.onHeard(m.sender, m.incarnation, m.version);
    m_gossipReports.onHeard(m.sender, m.words, m.replicaWords, now);
    const auto *sender = m_members.find(m.sender);
    const bool isDoubted = isKnown && !sender->isHealthy();
    if (m.kind == probe_kind::IndirectPing && m.target) {
        m_relayed[++m_lastSequence] = {from, m.sequence};
        out.push_back({*m.target, messageWithoutUpdates(probe_kind::Ping, m_lastSequence)});
    }
    if (m.kind == probe_kind::Ack)
        onAck(m, out);
    // What was told unasked is answered only if it asks, and that answer asks nothing: two daemons
    // that doubt each other would otherwise send messages without an end.
    const bool isUnsolicited = m.kind == probe_kind::Ack && m.sequence == 0;
    const bool isNews = !isUnsolicited && (!isKnown || isDoubted);
    if (m.kind != probe_kind::Ping && !m.requestsState && !isNews)
        return out;
    probe_message answer = message(probe_kind::Ack, m.kind == probe_kind::Ping ? m.sequence : 0);
    answer.requestsState = !isKnown && !isUnsolicited;
    if (m.kind == probe_kind::Ping)
        answer.replicas = replicasAt(now);
    if (m.requestsState)
        answer.updates.push_back({m_self, member_health::Alive});
    // What others hold of the sender reaches it, so that it can refute it.
    if (isDoubted)
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
        probe_message told = message(probe_kind::Ack, 0);
        told.updates.push_back({m_self, member_health::Alive});
        out.push_back({m->gossip, std::move(told)});
    }
    return out;
}

} // namespace azurehill
