#include "dispatch/replica_pool.h"

#include <algorithm>

namespace azurehill {

namespace {

/// A few percent of lost answers cost less than a replica's capacity, so one failure ejects none.
constexpr int failuresUntilEjection = 2;
constexpr duration firstEjection = seconds(1);
constexpr int maxEjectionDoublings = 2;
/// If more than one in this many replicas fail, the requests are to blame.
constexpr int failingReplicaDivisor = 3;
/// Time for which a replica that refused a request although it had a free slot gets no other.
constexpr duration refusalPause = milliseconds(100);
constexpr double speedWeight = 0.1;
constexpr int minSpeedSamples = 3;
constexpr double minSlowness = 0.3;
constexpr double maxSlowness = 8;
/// Slow-down of a turn by the other requests in a full batch, and by prompt reads of the sessions
/// assigned to the replica, as fractions of its duration at an idle one.
constexpr double fullBatchCost = 0.25;
constexpr double sessionCost = 0.25;
/// Range of the random factor that spreads new sessions over equal replicas.
constexpr double jitter = 0.05;

} // namespace

void replica_pool::setReplicas(const std::vector<engine_replica> &listed)
{
    for (auto &[who, r] : m_replicas)
        r.isListed = false;
    for (const engine_replica &e : listed) {
        replica_state &r = m_replicas[e.incarnation];
        r.slots = std::max(1, e.slots);
        r.isListed = true;
    }
    m_listed = static_cast<int>(listed.size());
    std::erase_if(m_replicas, [](const auto &item) {
        return !item.second.isListed && item.second.inFlight == 0 && item.second.sessions == 0;
    });
}

void replica_pool::acquire(const replica_incarnation &who)
{
    ++m_replicas[who].inFlight;
    ++m_inFlight;
}

void replica_pool::release(const replica_incarnation &who, send_outcome outcome, double msPerEvent,
                           time_point now)
{
    const auto found = m_replicas.find(who);
    if (found == m_replicas.end() || found->second.inFlight == 0)
        return;
    replica_state &r = found->second;
    --r.inFlight;
    --m_inFlight;
    recordOutcome(r, outcome, now);
    if (outcome == send_outcome::Answered && msPerEvent > 0)
        recordSpeed(r, msPerEvent);
}

void replica_pool::recordOutcome(replica_state &r, send_outcome outcome, time_point now)
{
    switch (outcome) {
    case send_outcome::Answered:
        r.failuresInRow = 0;
        r.ejections = 0;
        r.ejectedUntil = time_point();
        break;
    case send_outcome::NotRun:
        r.fullUntil = now + refusalPause;
        break;
    case send_outcome::Failed:
    case send_outcome::Broken:
        if (++r.failuresInRow >= failuresUntilEjection)
            eject(r, now);
        break;
    case send_outcome::Silent:
    case send_outcome::Unreachable:
        ++r.failuresInRow;
        eject(r, now);
        break;
    case send_outcome::Cancelled:
        break;
    }
}

void replica_pool::eject(replica_state &r, time_point now)
{
    // Requests that were in flight when the replica was ejected say nothing new.
    if (now < r.ejectedUntil)
        return;
    r.ejectedUntil = now + firstEjection * (1 << std::min(r.ejections, maxEjectionDoublings));
    ++r.ejections;
}

void replica_pool::recordSpeed(replica_state &r, double msPerEvent)
{
    if (m_meanMsPerEvent <= 0)
        m_meanMsPerEvent = msPerEvent;
    if (r.samples == 0)
        r.msPerEvent = msPerEvent;
    ++r.samples;
    r.msPerEvent += speedWeight * (msPerEvent - r.msPerEvent);
    const double meanWeight = speedWeight / std::max(1, m_listed);
    m_meanMsPerEvent += meanWeight * (msPerEvent - m_meanMsPerEvent);
}

double replica_pool::slowness(const replica_state &r) const
{
    if (r.samples < minSpeedSamples || m_meanMsPerEvent <= 0)
        return 1;
    return std::clamp(r.msPerEvent / m_meanMsPerEvent, minSlowness, maxSlowness);
}

bool replica_pool::failsEverywhere() const
{
    const auto failing = std::count_if(m_replicas.begin(), m_replicas.end(), [](const auto &item) {
        return item.second.isListed && item.second.ejections > 0;
    });
    return failing * failingReplicaDivisor > m_listed;
}

bool replica_pool::isAvailable(const replica_state &r, time_point now) const
{
    if (!r.isListed)
        return false;
    return r.ejections == 0 || now >= r.ejectedUntil || failsEverywhere();
}

int replica_pool::freeSlots(const replica_state &r, time_point now) const
{
    if (!isAvailable(r, now) || now < r.fullUntil)
        return 0;
    // After an ejection, one request at a time tries the replica.
    const int usable = r.ejections > 0 && !failsEverywhere() ? 1 : r.slots;
    return std::max(0, usable - r.inFlight);
}

bool replica_pool::hasFreeSlot(const replica_state &r, time_point now) const
{
    return freeSlots(r, now) > 0;
}

bool replica_pool::hasFreeSlot(const replica_incarnation &who, time_point now) const
{
    const auto found = m_replicas.find(who);
    return found != m_replicas.end() && hasFreeSlot(found->second, now);
}

bool replica_pool::isAvailable(const replica_incarnation &who, time_point now) const
{
    const auto found = m_replicas.find(who);
    return found != m_replicas.end() && isAvailable(found->second, now);
}

std::optional<replica_incarnation> replica_pool::leastLoaded(time_point now)
{
    std::uniform_real_distribution<double> spread(1, 1 + jitter);
    std::optional<replica_incarnation> best;
    double bestCost = 0;
    for (const auto &[who, r] : m_replicas) {
        if (!hasFreeSlot(r, now))
            continue;
        const double load = fullBatchCost * r.inFlight + sessionCost * r.sessions;
        const double cost = slowness(r) * (1 + load / r.slots) * spread(m_random);
        if (best && cost >= bestCost)
            continue;
        best = who;
        bestCost = cost;
    }
    return best;
}

void replica_pool::addSessions(const replica_incarnation &who, int change)
{
    const auto found = m_replicas.find(who);
    if (found != m_replicas.end())
        found->second.sessions = std::max(0, found->second.sessions + change);
}

int replica_pool::slots(time_point now) const
{
    int sum = 0;
    for (const auto &[who, r] : m_replicas)
        sum += isAvailable(r, now) ? r.slots : 0;
    return sum;
}

int replica_pool::freeSlots(time_point now) const
{
    int sum = 0;
    for (const auto &[who, r] : m_replicas)
        sum += freeSlots(r, now);
    return sum;
}

int replica_pool::ejected(time_point now) const
{
    return static_cast<int>(
        std::count_if(m_replicas.begin(), m_replicas.end(), [now](const auto &item) {
            return item.second.isListed && now < item.second.ejectedUntil;
        }));
}

} // namespace azurehill
