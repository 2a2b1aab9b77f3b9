#include "io/membership_replay.h"

#include <algorithm>

namespace azurehill::test {

namespace {

constexpr std::int64_t ipAndUdpBytes = 28;

std::string nameOf(int daemon)
{
    return "host-" + std::to_string(daemon);
}

member_state stateOf(int daemon)
{
    member_state m;
    m.name = {nameOf(daemon)};
    m.incarnation = 1'764'738'000'000 + daemon;
    const std::string ip
        = "10.1." + std::to_string(daemon / 250) + "." + std::to_string(daemon % 250 + 1);
    m.clients = {ip, 8080};
    m.peers = {ip, 8081};
    m.gossip = {ip, std::uint16_t(10'000 + daemon)};
    m.dataCentre = {"zone-" + std::to_string(daemon % 5)};
    m.serving = true;
    m.storeReachable = true;
    return m;
}

int indexOf(const endpoint &gossip)
{
    return gossip.port - 10'000;
}

} // namespace

membership_replay::membership_replay(int size)
{
    for (int i = 0; i < size; ++i)
        m_daemons.emplace_back(stateOf(i), std::uint64_t(i) + 1);
    for (int i = 0; i < size; ++i) {
        for (int other = 0; other < size; ++other)
            m_daemons[std::size_t(i)].onListed(stateOf(other));
        const auto phase = std::uniform_int_distribution<int>(0, 199)(m_random);
        push(m_now + milliseconds(phase), i, {});
    }
}

void membership_replay::push(time_point at, int daemon, std::string message)
{
    m_events.push({at, ++m_lastNumber, daemon, std::move(message)});
}

duration membership_replay::latency()
{
    return milliseconds(std::uniform_int_distribution<int>(1, 5)(m_random));
}

void membership_replay::play(duration time)
{
    const time_point end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event e = m_events.top();
        m_events.pop();
        m_now = e.at;
        if (m_stopped.contains(e.daemon))
            m_held[e.daemon].push_back(e);
        else
            happen(e);
    }
    m_now = end;
}

void membership_replay::thaw(int daemon)
{
    m_stopped.erase(daemon);
    for (event &e : m_held[daemon])
        push(m_now, daemon, std::move(e.message));
    m_held.erase(daemon);
}

void membership_replay::send(int from, const endpoint &to, const std::string &message)
{
    ++datagrams;
    bytes += std::int64_t(message.size()) + ipAndUdpBytes;
    const int target = indexOf(to);
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss;
    if (!isLost && !m_cut.contains({from, target}))
        push(m_now + latency(), target, message);
}

void membership_replay::count(const std::vector<member_change> &changes)
{
    for (const member_change &c : changes) {
        const bool isRunning = !m_stopped.contains(indexOf(c.member.gossip));
        falseDeaths += !c.isAlive && isRunning ? 1 : 0;
    }
}

int membership_replay::holdersOf(int daemon) const
{
    int holders = 0;
    for (int i = 0; i < int(m_daemons.size()); ++i) {
        if (i == daemon || m_stopped.contains(i))
            continue;
        const auto alive = m_daemons[std::size_t(i)].alive();
        holders += std::any_of(alive.begin(), alive.end(), [&](const member_state &m) {
            return m.name.value == nameOf(daemon);
        });
    }
    return holders;
}

bool membership_replay::isAgreed() const
{
    const int running = int(m_daemons.size() - m_stopped.size());
    for (int i = 0; i < int(m_daemons.size()); ++i) {
        if (holdersOf(i) != (m_stopped.contains(i) ? 0 : running - 1))
            return false;
    }
    return true;
}

void membership_replay::happen(const event &e)
{
    member_list &daemon = m_daemons[std::size_t(e.daemon)];
    if (!e.message.empty()) {
        if (const auto states = decodeMembers(e.message))
            count(daemon.onHeard(*states, m_now));
        return;
    }
    count(daemon.onRound(m_now));
    const std::string message = encodeMembers(daemon.digest(40));
    for (const member_state &peer : daemon.pickPeers(4))
        send(e.daemon, peer.gossip, message);
    push(m_now + round, e.daemon, {});
}

} // namespace azurehill::test
