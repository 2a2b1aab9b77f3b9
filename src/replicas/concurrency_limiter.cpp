#include "replicas/concurrency_limiter.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Upper bound of the initial limit for one replica, over all daemons. Engines that slow down with
/// each request sustain fewer, which their event intervals show within a second; at engines that
/// don't, half of a burst would be queued while the limit grows from a few requests.
constexpr double initialLimitPerReplica = 16;
/// Lower bound of the limit for one replica, in requests and as a fraction of its slots. So few
/// requests don't slow an engine down: if events are slow nevertheless, holding back more requests
/// only leaves it idle. With the first bound alone, the limit at replicas of 96 slots was still
/// falling four seconds after slow replicas had recovered, to 3.9 requests at each.
constexpr double minRequestsPerReplica = 3;
constexpr double minSlotFraction = 1.0 / 12;
/// Upper bound of the limit as a multiple of the slots: the excess is queued in the engine, which
/// knows no priorities. It is above one since clients are spread unevenly over the daemons.
constexpr double maxRequestsPerSlot = 1.25;
/// Initial value and upper bound of the limit for one replica while mechanism::SlotBasedLimits is
/// off.
constexpr double initialPlainLimitPerReplica = 6;
constexpr double maxPlainLimitPerReplica = 64;
/// Target for inflation(). Programs are to end within two to three times their duration on idle
/// replicas, a part of which is spent in tools.
constexpr double targetInflation = 3;
/// Minimum time between adjustments of the limit, about that of one answer.
constexpr duration adjustInterval = milliseconds(250);
constexpr double decreaseFactor = 0.94;
constexpr double increaseFactor = 1.1;
/// Increase while events come nearly as fast as from an idle engine.
constexpr double fastIncreaseFactor = 1.3;
constexpr double nearlyIdleInflation = 1.5;
constexpr double eventIntervalWeight = 0.1;
/// Rate at which the idle interval rises from its minimum towards the current interval, in case
/// the engines have become slower for good.
constexpr double idleIntervalDecay = 0.0005;
constexpr int minSamples = 20;
/// A request that has been passed over by this many admissions is soon admitted out of order. By
/// the order of the queue alone, it would wait while more requests arrive than are admitted: nine
/// tries of one program's turns were refused after a restart of all daemons, and a request of a
/// worse rank was not among a thousand admissions.
constexpr std::uint64_t admissionsBeforePriority = 8;
/// At most one in so many admissions is made out of order, alternating between late or lost
/// programs and any. This limits what programs at the head of the queue lose to them.
constexpr std::uint64_t priorityAdmissionInterval = 4;
/// Gossip rounds until a daemon's report has reached the others and is merged there.
constexpr std::size_t reportDelayRounds = 3;
/// Fraction of the distance to the merged limit that a limit moves per gossip round. Reports are
/// some rounds old: moving all the way undid what had been learned since, and limits took 10.5 s
/// instead of 3 s to halve at slow engines (replay of 11 daemons).
constexpr double mergeWeight = 0.05;

} // namespace

double concurrency_limiter::initialLimit() const
{
    const bool fillsSlots = m_mechanisms.has(mechanism::SlotBasedLimits);
    return (fillsSlots ? std::min(initialLimitPerReplica, slotsPerReplica())
                       : initialPlainLimitPerReplica)
        * replicaShare();
}

double concurrency_limiter::maxLimit() const
{
    const bool fillsSlots = m_mechanisms.has(mechanism::SlotBasedLimits);
    return (fillsSlots ? std::max(minLimitPerReplica(), maxRequestsPerSlot * slotsPerReplica())
                       : maxPlainLimitPerReplica)
        * replicaShare();
}

double concurrency_limiter::minLimitPerReplica() const
{
    return std::max(minRequestsPerReplica, minSlotFraction * slotsPerReplica());
}

double concurrency_limiter::clampLimit(double limit) const
{
    return std::max(minLimitPerReplica() * replicaShare(), std::min(limit, maxLimit()));
}

void concurrency_limiter::rescale(double replicasBefore)
{
    // Until event intervals adjust the limit, it follows the number of known replicas.
    m_limit = m_isLimitLearned ? m_limit * replicaShare() / replicasBefore : initialLimit();
}

void concurrency_limiter::setEngineCapacity(const engine_capacity &engines)
{
    const double before = replicaShare();
    m_engines = engines;
    rescale(before);
}

void concurrency_limiter::setLimitShare(double share)
{
    const double before = replicaShare();
    m_limitShare = share;
    rescale(before);
}

bool concurrency_limiter::hasEnoughSamples() const
{
    return m_samples >= minSamples;
}

concurrency_report concurrency_limiter::report() const
{
    concurrency_report result;
    result.inFlight = m_inFlightRequests;
    result.demand = m_inFlightRequests;
    // Without a replica the daemon can use no share of the limit, and its limit says nothing about
    // the present replicas.
    if (m_engines.replicas <= 0)
        return result;
    result.demand += request_demand(m_queue.size());
    result.inflation = hasEnoughSamples() ? inflation() : 0;
    result.limitPerReplica = m_isLimitLearned ? m_limit / replicaShare() : 0;
    return result;
}

concurrency_report concurrency_limiter::publishReport()
{
    m_publishedReports.push_back(report());
    if (m_publishedReports.size() > reportDelayRounds + 1)
        m_publishedReports.pop_front();
    return m_publishedReports.back();
}

void concurrency_limiter::mergeReports(const concurrency_report_sample &others)
{
    m_receivedReports.assign(others.reports.begin(), others.reports.end());
    const request_demand ownDemand
        = m_publishedReports.empty() ? report().demand : m_publishedReports.front().demand;
    setLimitShare(concurrencyShare(ownDemand, others, totalLimit()));
    const double mergedLimit = mergedLimitPerReplica(report(), others) * replicaShare();
    if (mergedLimit <= 0)
        return;
    m_limit += (m_isLimitLearned ? mergeWeight : 1) * (mergedLimit - m_limit);
    m_limit = clampLimit(m_limit);
    m_isLimitLearned = true;
}

bool concurrency_limiter::tryAdmit(const admission_request &request)
{
    if (m_queue.empty() && m_inFlightRequests < std::max(1.0, m_limit)) {
        ++m_inFlightRequests;
        return true;
    }
    // Later turns precede first turns: refusing a first turn costs the caller little, refusing a
    // later one wastes all work of its program so far.
    const queue_key key{request.feasibility == deadline_feasibility::Lost,
                        request.rank,
                        !request.continues,
                        request.feasibility,
                        request.slack,
                        request.number};
    m_queue.emplace(key, request.number);
    m_queueKeys.emplace(request.number, key);
    m_arrivals.emplace(request.number, m_admissions);
    if (request.feasibility != deadline_feasibility::OnTime)
        m_lateRequests.insert(request.number);
    return false;
}

bool concurrency_limiter::cancelWait(std::uint64_t number)
{
    const auto found = m_queueKeys.find(number);
    if (found == m_queueKeys.end())
        return false;
    m_queue.erase(found->second);
    m_queueKeys.erase(found);
    m_arrivals.erase(number);
    m_lateRequests.erase(number);
    return true;
}

void concurrency_limiter::release()
{
    m_inFlightRequests = std::max(0, m_inFlightRequests - 1);
}

std::optional<std::uint64_t> concurrency_limiter::starvedRequest()
{
    if (m_admissions % priorityAdmissionInterval != 0)
        return std::nullopt;
    const bool isForAny = m_admissions % (2 * priorityAdmissionInterval) == 0;
    const auto &[oldest, admissionsOnArrival] = *m_arrivals.begin();
    if (isForAny && m_admissions - admissionsOnArrival >= admissionsBeforePriority)
        return oldest;
    // Successive tries of a late program's turn wait for less and less time, so admissions are
    // counted over all late requests, not for each try.
    if (isForAny || m_lateRequests.empty() || m_admissionsPastLate < admissionsBeforePriority)
        return std::nullopt;
    m_admissionsPastLate = 0;
    return *m_lateRequests.begin();
}

std::uint64_t concurrency_limiter::nextToAdmit()
{
    ++m_admissions;
    if (!m_lateRequests.empty())
        ++m_admissionsPastLate;
    return starvedRequest().value_or(m_queue.begin()->second);
}

std::vector<std::uint64_t> concurrency_limiter::admitQueued()
{
    std::vector<std::uint64_t> admitted;
    while (!m_queue.empty() && m_inFlightRequests < std::max(1.0, m_limit)) {
        const std::uint64_t number = nextToAdmit();
        cancelWait(number);
        ++m_inFlightRequests;
        admitted.push_back(number);
    }
    return admitted;
}

double concurrency_limiter::inflation() const
{
    return m_idleEventInterval > 0 ? m_eventInterval / m_idleEventInterval : 1;
}

void concurrency_limiter::onEventInterval(double msPerEvent, time_point now)
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
    // Engines count as slow only if both this daemon's inflation and the merged one exceed the
    // target: a few slow answers may raise the former alone, and the latter is some gossip rounds
    // old when engines recover.
    const double observedInflation
        = std::min(inflation(), mergedInflation(report(), m_receivedReports));
    const bool isSlow = observedInflation > targetInflation;
    // Only a limit that is reached shows that it can be raised.
    const bool isLimitReached = !m_queue.empty() || m_inFlightRequests + 1 >= m_limit;
    const bool fillsSlots = m_mechanisms.has(mechanism::SlotBasedLimits);
    m_isLimitLearned = m_isLimitLearned || isSlow || isLimitReached;
    if (isSlow)
        m_limit *= decreaseFactor;
    else if (isLimitReached)
        m_limit *= fillsSlots && observedInflation < nearlyIdleInflation ? fastIncreaseFactor
                                                                         : increaseFactor;
    m_limit = clampLimit(m_limit);
}

} // namespace azurehill
