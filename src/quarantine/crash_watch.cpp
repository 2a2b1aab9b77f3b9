#include "quarantine/crash_watch.h"

#include <algorithm>
#include <utility>

namespace azurehill {

namespace {

/// Bytes that a process sent before it ended may be read after the end of one of its connections.
constexpr duration lifeSignMargin = milliseconds(100);
/// Time for which a lost send is watched once an end of its replica no longer counts. Entries lapse
/// after three of the replica's heartbeats, and a store that is away delays that.
constexpr duration watchTime = seconds(15);
/// Time after which an entry that lapsed in a store outage is no longer expected to return.
constexpr duration returnTime = seconds(60);

} // namespace

bool crash_watch::isReported(const watched_send &w)
{
    return w.loss != send_loss::EndedWithConnection || w.fate == replica_fate::Ended
        || w.wasUnlisted;
}

time_point crash_watch::workUntil(const watched_send &w)
{
    const bool mayWorkOn = w.loss == send_loss::GivenUp || w.loss == send_loss::Malformed;
    return mayWorkOn ? w.mayEndUntil : w.lostAt;
}

void crash_watch::report(const lost_send &lost, const watched_send &w, time_point now)
{
    if (!isReported(w))
        return;
    const auto timeLeft
        = [now](time_point until) { return std::max<duration>(until - now, duration::zero()); };
    m_findings.push_back(
        {lost, w.fate, w.loss, now - w.lostAt, timeLeft(workUntil(w)), timeLeft(w.mayEndUntil)});
}

void crash_watch::onSendLost(const lost_send &lost, const loss_observation &seen,
                             const replica_lookup &lookup, time_point now)
{
    const replica_sight sight = lookup(lost.replica);
    const bool isDrained = sight.isDraining && now >= sight.drainDeadline;
    if (isDrained || seen.wasLeaving)
        return;
    watched_send w{seen.loss, now, std::max(seen.mayEndUntil, now), replica_fate::Suspected, false};
    if (!sight.isListed) {
        // Its answer ended with the connection, and so long before the entry lapsed.
        if (seen.loss == send_loss::EndedWithConnection)
            return;
        w.fate = replica_fate::Ended;
        w.wasUnlisted = true;
    }
    report(lost, w, now);
    if (m_watched.size() < maxWatched)
        m_watched.insert_or_assign(lost, w);
}

void crash_watch::setFate(const lost_send &lost, watched_send &w, replica_fate fate, time_point now)
{
    w.fate = fate;
    report(lost, w, now);
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
    const time_point provenFrom = std::max(w.lostAt + lifeSignMargin, w.mayEndUntil);
    const bool hasAnnounced = sight.isDraining && sight.drainNotBefore > provenFrom;
    if (sight.lastReceivedAt > provenFrom || hasAnnounced) {
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
        if (w.fate == replica_fate::Ended)
            return now >= w.lostAt + returnTime;
        return w.fate == replica_fate::Cleared || now >= w.mayEndUntil + watchTime;
    });
}

std::vector<crash_finding> crash_watch::takeFindings()
{
    return std::exchange(m_findings, {});
}

} // namespace azurehill
