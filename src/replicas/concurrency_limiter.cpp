#include "replicas/concurrency_limiter.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Requests of all daemons at one replica that the bound starts from at the most. Engines that slow
/// down with each request bear fewer, which their pace shows within a second; those that don't
/// would keep half of a burst waiting if the bound had to grow from a few.
constexpr double initialLimitPerReplica = 16;
/// Requests at one replica that the bound never goes below, and the same as a share of its slots.
/// So few don't slow an engine down: if events come slowly all the same, holding more requests back
/// only leaves it idle. With the first alone, the bound at replicas of 96 slots was still falling
/// four seconds after slow ones had recovered, to 3.9 requests at each (log of a recovery).
constexpr double minRequestsPerReplica = 3;
constexpr double minSlotFraction = 1.0 / 12;
/// The bound never goes above this many times the slots: what does not fit waits in the engine,
/// where nothing puts it in order. Above one, since clients spread unevenly over the daemons.
constexpr double maxRequestsPerSlot = 1.25;
/// Where the bound does not go by slots, what it starts from and ends at, a replica.
constexpr double initialPlainLimitPerReplica = 6;
constexpr double maxPlainLimitPerReplica = 64;
/// Events may come this many times slower than from an idle engine. Programs are meant to end
/// within two to three times their time on idle replicas, a part of which is spent in tools.
constexpr double targetInflation = 3;
/// The bound moves once in this time, about that of one answer.
constexpr duration adjustInterval = milliseconds(250);
constexpr double lowerBy = 0.94;
constexpr double raiseBy = 1.1;
/// The same while events come nearly as fast as from an idle engine.
constexpr double fastIncreaseFactor = 1.3;
constexpr double nearlyIdleInflation = 1.5;
constexpr double eventIntervalWeight = 0.1;
/// The idle pace forgets its lowest sample slowly, in case engines really got slower.
constexpr double idleIntervalDecay = 0.0005;
constexpr int minSamples = 20;
/// A request that so many others have passed gets one of the next places. By the order alone it
/// waits behind all others for as long as more come than there are places: nine tries of one
/// program's turns were refused after a restart of all daemons, and a request of a worse
/// rank got none of a thousand places.
constexpr std::uint64_t admissionsBeforePriority = 8;
/// One place in so many goes to such requests, by turns to late or lost programs and to any: it
/// bounds what the programs that the order puts first give up for them.
constexpr std::uint64_t priorityAdmissionInterval = 4;
/// Rounds after which a daemon's word has reached the others and is taken in there.
constexpr std::size_t reportDelayRounds = 3;
/// Part of the way to the agreed bound that a bound goes in a round. Words are old by some rounds:
/// going all the way undid what was learned since, and bounds took 10.5 s to halve at slow engines
/// in place of 3 s (replay of 11 daemons).
constexpr double mergeWeight = 0.05;

} // namespace

double concurrency_limiter::initialLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::min(initialLimitPerReplica, slotsPerReplica())
                  : initialPlainLimitPerReplica)
        * replicas();
}

double concurrency_limiter::maxLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::max(minLimitPerReplica(), maxRequestsPerSlot * slotsPerReplica())
                  : maxPlainLimitPerReplica)
        * replicas();
}

double concurrency_limiter::minLimitPerReplica() const
{
    return std::max(minRequestsPerReplica, minSlotFraction * slotsPerReplica());
}

double concurrency_limiter::bounded(double limit) const
{
    return std::max(minLimitPerReplica() * replicas(), std::min(limit, maxLimit()));
}

void concurrency_limiter::rescale(double replicasBefore)
{
    // Before a pace has moved the bound, it is what the replicas that are known by now bear.
    m_limit = m_isLimitLearned ? m_limit * replicas() / replicasBefore : initialLimit();
}

void concurrency_limiter::setEngineCapacity(const engine_capacity &engines)
{
    const double before = replicas();
    m_engines = engines;
    rescale(before);
}

void concurrency_limiter::setLimitShare(double part)
{
    const double before = replicas();
    m_limitShare = part;
    rescale(before);
}

bool concurrency_limiter::hasEnoughSamples() const
{
    return m_samples >= minSamples;
}

concurrency_report concurrency_limiter::word() const
{
    concurrency_report word;
    word.inside = m_inFlightRequests;
    word.wanted = m_inFlightRequests;
    // Without a replica the daemon can use no place, and what it has learned is not of these.
    if (m_engines.replicas <= 0)
        return word;
    word.wanted += request_demand(m_waiting.size());
    word.inflation = hasEnoughSamples() ? inflation() : 0;
    word.perReplica = m_isLimitLearned ? m_limit / replicas() : 0;
    return word;
}

concurrency_report concurrency_limiter::tell()
{
    m_told.push_back(word());
    if (m_told.size() > reportDelayRounds + 1)
        m_told.pop_front();
    return m_told.back();
}

void concurrency_limiter::hear(const concurrency_report_sample &others)
{
    m_heard.assign(others.heard.begin(), others.heard.end());
    const request_demand own = m_told.empty() ? word().wanted : m_told.front().wanted;
    setLimitShare(concurrencyShare(own, others, places()));
    const double agreed = mergedLimitPerReplica(word(), others) * replicas();
    if (agreed <= 0)
        return;
    m_limit += (m_isLimitLearned ? mergeWeight : 1) * (agreed - m_limit);
    m_limit = bounded(m_limit);
    m_isLimitLearned = true;
}

bool concurrency_limiter::enter(const admission_request &ticket)
{
    if (m_waiting.empty() && m_inFlightRequests < std::max(1.0, m_limit)) {
        ++m_inFlightRequests;
        return true;
    }
    // What was begun goes before what begins: a first turn that is refused costs its caller little,
    // a later one all that its program has done.
    const order o{ticket.hope == deadline_feasibility::Lost,
                  ticket.rank,
                  !ticket.continues,
                  ticket.hope,
                  ticket.slack,
                  ticket.number};
    m_waiting.emplace(o, ticket.number);
    m_orders.emplace(ticket.number, o);
    m_arrivals.emplace(ticket.number, m_admissions);
    if (ticket.hope != deadline_feasibility::OnTime)
        m_lateRequests.insert(ticket.number);
    return false;
}

bool concurrency_limiter::withdraw(std::uint64_t number)
{
    const auto found = m_orders.find(number);
    if (found == m_orders.end())
        return false;
    m_waiting.erase(found->second);
    m_orders.erase(found);
    m_arrivals.erase(number);
    m_lateRequests.erase(number);
    return true;
}

void concurrency_limiter::leave()
{
    m_inFlightRequests = std::max(0, m_inFlightRequests - 1);
}

std::optional<std::uint64_t> concurrency_limiter::starvedRequest()
{
    if (m_admissions % priorityAdmissionInterval != 0)
        return std::nullopt;
    const bool isForAny = m_admissions % (2 * priorityAdmissionInterval) == 0;
    const auto &[oldest, grantedBefore] = *m_arrivals.begin();
    if (isForAny && m_admissions - grantedBefore >= admissionsBeforePriority)
        return oldest;
    // The tries of a late program's turn wait ever shorter, so what counts is how many places have
    // passed such turns, not this try.
    if (isForAny || m_lateRequests.empty() || m_admissionsPastLate < admissionsBeforePriority)
        return std::nullopt;
    m_admissionsPastLate = 0;
    return *m_lateRequests.begin();
}

std::uint64_t concurrency_limiter::next()
{
    ++m_admissions;
    if (!m_lateRequests.empty())
        ++m_admissionsPastLate;
    return starvedRequest().value_or(m_waiting.begin()->second);
}

std::vector<std::uint64_t> concurrency_limiter::take()
{
    std::vector<std::uint64_t> granted;
    while (!m_waiting.empty() && m_inFlightRequests < std::max(1.0, m_limit)) {
        const std::uint64_t number = next();
        withdraw(number);
        ++m_inFlightRequests;
        granted.push_back(number);
    }
    return granted;
}

double concurrency_limiter::inflation() const
{
    return m_idleEventInterval > 0 ? m_eventInterval / m_idleEventInterval : 1;
}

void concurrency_limiter::onPace(double msPerEvent, time_point now)
{
    if (m_samples == 0) {
        m_eventInterval = msPerEvent;
        m_idleEventInterval = msPerEvent;
    }
    ++m_samples;
    m_eventInterval += eventIntervalWeight * (msPerEvent - m_eventInterval);
    m_idleEventInterval += idleIntervalDecay * (m_eventInterval - m_idleEventInterval);
    m_idleEventInterval = std::min(m_idleEventInterval, msPerEvent);
    if (!hasEnoughSamples() || now < m_adjustedAt + adjustInterval)
        return;
    m_adjustedAt = now;
    // Slow are engines that both this daemon and all together see slow: what one sees alone may be
    // a few unlucky answers, and what all have told is old by some rounds when engines recover.
    const double seen = std::min(inflation(), mergedInflation(word(), m_heard));
    const bool isSlow = seen > targetInflation;
    // A bound that does not bind says nothing about how high it may go.
    const bool binds = !m_waiting.empty() || m_inFlightRequests + 1 >= m_limit;
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    m_isLimitLearned = m_isLimitLearned || isSlow || binds;
    if (isSlow)
        m_limit *= lowerBy;
    else if (binds)
        m_limit *= fills && seen < nearlyIdleInflation ? fastIncreaseFactor : raiseBy;
    m_limit = bounded(m_limit);
}

} // namespace azurehill
