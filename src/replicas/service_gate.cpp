#include "replicas/service_gate.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Requests of all daemons at one replica that the bound starts from at the most. Engines that slow
/// down with each request bear fewer, which their pace shows within a second; those that don't
/// would keep half of a burst waiting if the bound had to grow from a few.
constexpr double startPerReplica = 16;
/// Requests at one replica that the bound never goes below.
constexpr double leastPerReplica = 3;
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
/// A request of a program that is late or lost, passed over by so many others, gets one of the next
/// places. By the order alone it waits behind all others for as long as more come than there are
/// places: nine tries of one program's turns in a row were refused after a restart of all daemons.
constexpr std::uint64_t passedUntilNext = 8;
/// One place in so many goes to such requests at the most. A quarter bounds what programs on time
/// give up for them.
constexpr std::uint64_t behindEvery = 4;

} // namespace

double service_gate::startLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::min(startPerReplica, slotsPerReplica()) : plainStart) * replicas();
}

double service_gate::mostLimit() const
{
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    return (fills ? std::max(leastPerReplica, mostPerSlot * slotsPerReplica()) : plainMost)
        * replicas();
}

void service_gate::setShare(const gate_share &share)
{
    const double before = replicas();
    m_share = {std::max(1, share.replicas), std::max(1, share.slots), share.part};
    // Before a pace has moved the bound, it is what the replicas that are known by now bear.
    m_limit = m_isLearned ? m_limit * replicas() / before : startLimit();
}

place_word service_gate::word() const
{
    return {m_inside + place_demand(m_waiting.size()), m_isLearned ? m_limit / replicas() : 0};
}

void service_gate::agree(std::span<const place_word> others)
{
    const double perReplica = agreedPerReplica(word(), others);
    if (perReplica <= 0)
        return;
    m_isLearned = true;
    m_limit = std::clamp(perReplica, leastPerReplica, mostLimit() / replicas()) * replicas();
}

bool service_gate::enter(const gate_ticket &ticket)
{
    if (m_waiting.empty() && m_inside < std::max(1.0, m_limit)) {
        ++m_inside;
        return true;
    }
    const order o{ticket.hope == program_hope::Lost, ticket.rank, ticket.hope, ticket.slack,
                  ticket.number};
    m_waiting.emplace(o, ticket.number);
    m_orders.emplace(ticket.number, o);
    if (ticket.hope != program_hope::OnTime)
        m_behind.emplace(ticket.number, m_granted);
    return false;
}

bool service_gate::withdraw(std::uint64_t number)
{
    const auto found = m_orders.find(number);
    if (found == m_orders.end())
        return false;
    m_waiting.erase(found->second);
    m_orders.erase(found);
    m_behind.erase(number);
    return true;
}

void service_gate::leave()
{
    m_inside = std::max(0, m_inside - 1);
}

std::uint64_t service_gate::nextInOrder()
{
    ++m_granted;
    const bool mayBePassedBy = m_behind.empty() || m_granted % behindEvery != 0;
    if (mayBePassedBy || m_granted - m_behind.begin()->second <= passedUntilNext)
        return m_waiting.begin()->second;
    return m_behind.begin()->first;
}

std::vector<std::uint64_t> service_gate::take()
{
    std::vector<std::uint64_t> granted;
    while (!m_waiting.empty() && m_inside < std::max(1.0, m_limit)) {
        const std::uint64_t number = nextInOrder();
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
    if (m_samples < enoughSamples || now < m_adjustedAt + adjustPause)
        return;
    m_adjustedAt = now;
    const bool isSlow = inflation() > targetInflation;
    // A bound that does not bind says nothing about how high it may go.
    const bool binds = !m_waiting.empty() || m_inside + 1 >= m_limit;
    const bool fills = m_mechanisms.has(mechanism::FillSlots);
    m_isLearned = m_isLearned || isSlow || binds;
    if (isSlow)
        m_limit *= lowerBy;
    else if (binds)
        m_limit *= fills && inflation() < nearlyIdle ? raiseFastBy : raiseBy;
    m_limit = std::clamp(m_limit, leastPerReplica * replicas(), mostLimit());
}

} // namespace azurehill
