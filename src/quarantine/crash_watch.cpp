#include "quarantine/crash_watch.h"

#include <utility>

namespace azurehill {

namespace {

/// Bytes that a process sent before it ended may be read after the end of one of its connections.
constexpr duration lifeSignMargin = milliseconds(100);
/// Time after which nothing more becomes known of a lost send. Entries lapse after three of the
/// replica's heartbeats, and a store that is away delays that.
constexpr duration watchTime = seconds(15);
/// Time after which an entry that lapsed in a store outage is no longer expected to return.
constexpr duration returnTime = seconds(60);

} // namespace

void crash_watch::onSendLost(const lost_send &lost, send_loss loss, const replica_lookup &lookup,
                             time_point now)
{
    const replica_sight sight = lookup(lost.replica);
    if (!sight.isListed || sight.isDraining || m_watched.size() >= maxWatched)
        return;
    m_watched.insert_or_assign(lost, watched_send{loss, now, replica_fate::Suspected, false});
    if (loss == send_loss::ConnectionEnded)
        m_findings.push_back({lost, replica_fate::Suspected, duration::zero()});
}

void crash_watch::setFate(const lost_send &lost, watched_send &w, replica_fate fate, time_point now)
{
    const bool isReported
        = w.loss == send_loss::ConnectionEnded || fate == replica_fate::Ended || w.wasUnlisted;
    w.fate = fate;
    if (isReported)
        m_findings.push_back({lost, fate, now - w.lostAt});
}

void crash_watch::onAddressTaken(const replica_incarnation &who, time_point now)
{
    for (auto &[lost, w] : m_watched) {
        if (lost.replica == who && w.fate == replica_fate::Suspected)
            setFate(lost, w, replica_fate::Ended, now);
    }
}

void crash_watch::updateOne(const lost_send &lost, watched_send &w, const replica_sight &sight,
                            time_point now)
{
    if (w.fate == replica_fate::Ended) {
        if (w.wasUnlisted && sight.isListed)
            setFate(lost, w, replica_fate::Cleared, now);
        w.wasUnlisted = w.wasUnlisted || !sight.isListed;
        return;
    }
    const bool isAlive = sight.lastReceivedAt > w.lostAt + lifeSignMargin || sight.isDraining;
    if (isAlive || now >= w.lostAt + watchTime) {
        setFate(lost, w, replica_fate::Cleared, now);
    } else if (!sight.isListed) {
        w.wasUnlisted = true;
        setFate(lost, w, replica_fate::Ended, now);
    }
}

void crash_watch::update(const replica_lookup &lookup, time_point now)
{
    for (auto &[lost, w] : m_watched)
        updateOne(lost, w, lookup(lost.replica), now);
    std::erase_if(m_watched, [now](const auto &item) {
        const watched_send &w = item.second;
        return w.fate == replica_fate::Cleared
            || (w.fate == replica_fate::Ended && now >= w.lostAt + returnTime);
    });
}

std::vector<crash_finding> crash_watch::takeFindings()
{
    return std::exchange(m_findings, {});
}

} // namespace azurehill
