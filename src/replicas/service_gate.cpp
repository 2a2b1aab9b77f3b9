#include "replicas/service_gate.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Requests of all daemons at one replica that the bound starts from at the most. Engines that slow
/// down with each request bear fewer, which their pace shows within a second; those that don't
/// would keep half of a burst waiting if the bound had to grow from a few.
constexpr double startPerReplica = 16;
/// Requests at one replica that the bound never goes below, and the same as a share of its slots.
/// So few don't slow an engine down: if events come slowly all the same, holding more requests back
/// only leaves it idle. With the first alone, the bound at replicas of 96 slots was still falling
/// four seconds after slow ones had recovered, to 3.9 requests at each (log of a recovery).
constexpr double leastRequests = 3;
constexpr double leastSlotShare = 1.0 / 12;
/// The bound never goes above this many times the slots: what does not fit waits in the engine,
/// where nothing puts it in order. Above one, since clients spread unevenly over the daemons.
constexpr double mostPerSlot = 1.25;
/// Where the bound does not go by slots, what it starts from and ends at, a replica.
constexpr double plainStart = 6;
constexpr double plainMost = 64;
/// Events may come this many times slower than from an idle engine. Programs are meant to end
/// within two to three times their time on idle replicas, a part of which is spent in tools.
constexpr double targetInflation = 3;
/// The bound moves once in this time, about that of one answer.
constexpr duration adjustPause = milliseconds(250);
constexpr double lowerBy = 0.94;
constexpr double raiseBy = 1.1;
/// The same while events come nearly as fast as from an idle engine.
constexpr double raiseFastBy = 1.3;
constexpr double nearlyIdle = 1.5;
constexpr double paceWeight = 0.1;
/// The idle pace forgets its lowest sample slowly, in case engines really got slower.
constexpr double idleForget = 0.0005;
constexpr int enoughSamples = 20;
/// A request that so many others have passed gets one of the next places. By the order alone it
/// waits behind all others for as long as more come than there are places: nine tries of one
/// program's turns were refused after a restart of all daemons, and a request of a worse
/// rank got none of a thousand places.
constexpr std::uint64_t passedUntilNext = 8;
/// One place in so many goes to such requests, by turns to late or lost programs and to any: it
/// bounds what the programs that the order puts first give up for them.
constexpr std::uint64_t passedEvery = 4;
/// Rounds after which a daemon's word has reached the others and is taken in there.
constexpr std::size_t wordRounds = 3;
/// Part of the way to the agreed bound that a bound goes in a round. Words are old by some rounds:
/// going all the way undid what was learned since, and bounds took 10.5 s to halve at slow engines
/// in place of 3 s (replay of 11 daemons).
constexpr double agreePull = 0.05;

} // namespace

double service_gate::startLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::min(startPerReplica, slotsPerReplica()) : plainStart) * replicas();
}

double service_gate::mostLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::max(leastPerReplica(), mostPerSlot * slotsPerReplica()) : plainMost)
        * replicas();
}

double service_gate::leastPerReplica() const
{
    return std::max(leastRequests, leastSlotShare * slotsPerReplica());
}

double service_gate::bounded(double limit) const
{
    return std::max(leastPerReplica() * replicas(), std::min(limit, mostLimit()));
}

void service_gate::rescale(double replicasBefore)
{
    // Before a pace has moved the bound, it is what the replicas that are known by now bear.
    m_limit = m_isKnown ? m_limit * replicas() / replicasBefore : startLimit();
}

void service_gate::setEngines(const gate_engines &engines)
{
    const double before = replicas();
    m_engines = engines;
    rescale(before);
}

void service_gate::setPart(double part)
{
    const double before = replicas();
    m_part = part;
    rescale(before);
}

bool service_gate::hasEnoughSamples() const
{
    return m_samples >= enoughSamples;
}

place_word service_gate::word() const
{
    place_word word;
    word.inside = m_inside;
    word.wanted = m_inside;
    // Without a replica the daemon can use no place, and what it has learned is not of these.
    if (m_engines.replicas <= 0)
        return word;
    word.wanted += place_demand(m_waiting.size());
    word.inflation = hasEnoughSamples() ? inflation() : 0;
    word.perReplica = m_isKnown ? m_limit / replicas() : 0;
    return word;
}

place_word service_gate::tell()
{
    m_told.push_back(word());
    if (m_told.size() > wordRounds + 1)
        m_told.pop_front();
    return m_told.back();
}

void service_gate::hear(const place_sample &others)
{
    m_heard.assign(others.heard.begin(), others.heard.end());
    const place_demand own = m_told.empty() ? word().wanted : m_told.front().wanted;
    setPart(placePart(own, others, places()));
    const double agreed = agreedPerReplica(word(), others) * replicas();
    if (agreed <= 0)
        return;
    m_limit += (m_isKnown ? agreePull : 1) * (agreed - m_limit);
    m_limit = bounded(m_limit);
    m_isKnown = true;
}

bool service_gate::enter(const gate_ticket &ticket)
{
    if (m_waiting.empty() && m_inside < std::max(1.0, m_limit)) {
        ++m_inside;
        return true;
    }
    // What was begun goes before what begins: a first turn that is refused costs its caller little,
    // a later one all that its program has done.
    const order o{ticket.hope == program_hope::Lost,
                  ticket.rank,
                  !ticket.continues,
                  ticket.hope,
                  ticket.slack,
                  ticket.number};
    m_waiting.emplace(o, ticket.number);
    m_orders.emplace(ticket.number, o);
    m_arrivals.emplace(ticket.number, m_granted);
    if (ticket.hope != program_hope::OnTime)
        m_behind.insert(ticket.number);
    return false;
}

bool service_gate::withdraw(std::uint64_t number)
{
    const auto found = m_orders.find(number);
    if (found == m_orders.end())
        return false;
    m_waiting.erase(found->second);
    m_orders.erase(found);
    m_arrivals.erase(number);
    m_behind.erase(number);
    return true;
}

void service_gate::leave()
{
    m_inside = std::max(0, m_inside - 1);
}

std::optional<std::uint64_t> service_gate::passedOver()
{
    if (m_granted % passedEvery != 0)
        return std::nullopt;
    const bool isForAny = m_granted % (2 * passedEvery) == 0;
    const auto &[oldest, grantedBefore] = *m_arrivals.begin();
    if (isForAny && m_granted - grantedBefore >= passedUntilNext)
        return oldest;
    // The tries of a late program's turn wait ever shorter, so what counts is how many places have
    // passed such turns, not this try.
    if (isForAny || m_behind.empty() || m_behindPassed < passedUntilNext)
        return std::nullopt;
    m_behindPassed = 0;
    return *m_behind.begin();
}

std::uint64_t service_gate::next()
{
    ++m_granted;
    if (!m_behind.empty())
        ++m_behindPassed;
    return passedOver().value_or(m_waiting.begin()->second);
}

std::vector<std::uint64_t> service_gate::take()
{
    std::vector<std::uint64_t> granted;
    while (!m_waiting.empty() && m_inside < std::max(1.0, m_limit)) {
        const std::uint64_t number = next();
        withdraw(number);
        ++m_inside;
        granted.push_back(number);
    }
    return granted;
}

double service_gate::inflation() const
{
    return m_idlePace > 0 ? m_pace / m_idlePace : 1;
}

void service_gate::onPace(double msPerEvent, time_point now)
{
    if (m_samples == 0) {
        m_pace = msPerEvent;
        m_idlePace = msPerEvent;
    }
    ++m_samples;
    m_pace += paceWeight * (msPerEvent - m_pace);
    m_idlePace += idleForget * (m_pace - m_idlePace);
    m_idlePace = std::min(m_idlePace, msPerEvent);
    if (!hasEnoughSamples() || now < m_adjustedAt + adjustPause)
        return;
    m_adjustedAt = now;
    // Slow are engines that both this daemon and all together see slow: what one sees alone may be
    // a few unlucky answers, and what all have told is old by some rounds when engines recover.
    const double seen = std::min(inflation(), agreedInflation(word(), m_heard));
    const bool isSlow = seen > targetInflation;
    // A bound that does not bind says nothing about how high it may go.
    const bool binds = !m_waiting.empty() || m_inside + 1 >= m_limit;
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    m_isKnown = m_isKnown || isSlow || binds;
    if (isSlow)
        m_limit *= lowerBy;
    else if (binds)
        m_limit *= fills && seen < nearlyIdle ? raiseFastBy : raiseBy;
    m_limit = bounded(m_limit);
}

} // namespace azurehill
