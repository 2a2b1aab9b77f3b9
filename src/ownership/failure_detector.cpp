#include "ownership/failure_detector.h"

#include <algorithm>

namespace azurehill {

std::vector<member> ringSuccessorsOf(const cell_view &view, const daemon_id &self,
                                     std::size_t count)
{
    using place = std::pair<std::uint64_t, const member *>;
    std::vector<place> ring;
    for (const member &m : view.members)
        ring.emplace_back(stableHash(m.daemon.value), &m);
    std::sort(ring.begin(), ring.end());
    const auto me = std::find_if(ring.begin(), ring.end(),
                                 [&](const place &p) { return p.second->daemon == self; });
    if (me == ring.end())
        return {};
    std::rotate(ring.begin(), me, ring.end());
    std::vector<member> result;
    for (std::size_t i = 1; i < ring.size() && result.size() < count; ++i)
        result.push_back(*ring[i].second);
    return result;
}

void failure_detector::onView(const cell_view &view, time_point now)
{
    std::map<daemon_run, peer> peers;
    for (const member &m : view.members) {
        const daemon_run run{m.daemon, m.incarnation};
        const auto known = m_peers.find(run);
        peers[run] = known != m_peers.end() ? known->second : peer{now, {}};
    }
    std::vector<member> watched = ringSuccessorsOf(view, m_self, m_settings.fanOut);
    for (const member &m : watched) {
        const bool before = std::any_of(m_watched.begin(), m_watched.end(), [&](const member &w) {
            return w.daemon == m.daemon && w.incarnation == m.incarnation;
        });
        // Silence counts from the first heartbeat on: nobody sent this one any before.
        if (!before)
            peers[{m.daemon, m.incarnation}].lastMessageAt = now;
    }
    m_peers = std::move(peers);
    m_watched = std::move(watched);
}

void failure_detector::onSign(const daemon_run &run, time_point now)
{
    const auto it = m_peers.find(run);
    if (it == m_peers.end())
        return;
    it->second.lastMessageAt = now;
    it->second.latestByObserver.erase(m_self);
}

void failure_detector::onRefused(const daemon_run &run, time_point now)
{
    note(run, m_self, {failure_kind::Refused, now});
}

void failure_detector::onEvidence(const std::vector<failure_evidence> &evidence, time_point now)
{
    for (const failure_evidence &e : evidence) {
        // What this daemon saw itself it knows better than what comes back of it.
        if (e.observer != m_self && e.run.daemon != m_self)
            note(e.run, e.observer, {e.sign, now - e.age});
    }
}

void failure_detector::note(const daemon_run &run, const daemon_id &observer, peer_observation seen)
{
    const auto it = m_peers.find(run);
    if (it == m_peers.end())
        return;
    const auto [known, isNew] = it->second.latestByObserver.try_emplace(observer, seen);
    if (!isNew && seen.at > known->second.at)
        known->second = seen;
}

void failure_detector::recordSilentMembers(time_point now)
{
    for (const member &m : m_watched) {
        const daemon_run run{m.daemon, m.incarnation};
        const peer &p = m_peers.at(run);
        const auto own = p.latestByObserver.find(m_self);
        const bool refuses = own != p.latestByObserver.end()
            && own->second.sign == failure_kind::Refused && isFresh(own->second, now);
        if (!refuses && now >= p.lastMessageAt + m_settings.silenceTimeout)
            note(run, m_self, {failure_kind::Silent, now});
    }
}

std::vector<member> failure_detector::poll(time_point now)
{
    recordSilentMembers(now);
    if (now < m_nextHeartbeatAt)
        return {};
    m_nextHeartbeatAt = now + m_settings.heartbeatInterval;
    return m_watched;
}

bool failure_detector::isFresh(const peer_observation &s, time_point now) const
{
    return now < s.at + m_settings.evidenceTtl;
}

std::vector<failure_evidence> failure_detector::evidence(time_point now) const
{
    std::vector<failure_evidence> result;
    for (const auto &[run, p] : m_peers) {
        for (const auto &[observer, seen] : p.latestByObserver) {
            if (isFresh(seen, now))
                result.push_back({run, observer, seen.sign, now - seen.at});
        }
    }
    // The newest first: they are what others don't know yet.
    std::stable_sort(
        result.begin(), result.end(),
        [](const failure_evidence &a, const failure_evidence &b) { return a.age < b.age; });
    if (result.size() > m_settings.maxEvidencePerMessage)
        result.resize(m_settings.maxEvidencePerMessage);
    return result;
}

std::set<daemon_id> failure_detector::suspects(time_point now) const
{
    std::set<daemon_id> result;
    for (const auto &[run, known] : m_peers) {
        const peer &p = known; // the linter's clang 14 can't capture a structured binding
        // A sign of life seen here goes before what others saw earlier.
        const bool suspected = std::any_of(
            p.latestByObserver.begin(), p.latestByObserver.end(), [&](const auto &entry) {
                return isFresh(entry.second, now) && entry.second.at > p.lastMessageAt;
            });
        if (suspected && run.daemon != m_self)
            result.insert(run.daemon);
    }
    return result;
}

std::set<daemon_run> failure_detector::refusing(time_point now) const
{
    constexpr int enoughObservers = 2;
    std::set<daemon_run> result;
    for (const auto &[run, known] : m_peers) {
        const peer &p = known;
        const auto observers = std::count_if(
            p.latestByObserver.begin(), p.latestByObserver.end(), [&](const auto &entry) {
                const peer_observation &s = entry.second;
                return s.sign == failure_kind::Refused && isFresh(s, now) && s.at > p.lastMessageAt;
            });
        if (observers >= enoughObservers)
            result.insert(run);
    }
    return result;
}

} // namespace azurehill
