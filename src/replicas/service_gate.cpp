#include "replicas/service_gate.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Requests of all daemons at one replica that the bound starts from, and that it never goes below
/// or above. An engine that works on six requests is about twice as slow for each as an idle one.
constexpr double startPerReplica = 6;
constexpr double leastPerReplica = 3;
constexpr double mostPerReplica = 64;
/// Events may come this many times slower than from an idle engine. Programs are meant to end
/// within two to three times their time on idle replicas, a part of which is spent in tools.
constexpr double targetInflation = 3;
/// The bound moves once in this time, about that of one answer.
constexpr duration adjustPause = milliseconds(250);
constexpr double lowerBy = 0.94;
constexpr double raiseBy = 1.1;
constexpr double paceWeight = 0.1;
/// The idle pace forgets its lowest sample slowly, in case engines really got slower.
constexpr double idleForget = 0.0005;
constexpr int enoughSamples = 20;

} // namespace

void service_gate::setShare(int replicas, int daemons)
{
    const double before = share();
    m_replicas = std::max(1, replicas);
    m_daemons = std::max(1, daemons);
    m_limit = m_limit == 0 ? startPerReplica * share() : m_limit * share() / before;
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
    return false;
}

bool service_gate::withdraw(std::uint64_t number)
{
    const auto found = m_orders.find(number);
    if (found == m_orders.end())
        return false;
    m_waiting.erase(found->second);
    m_orders.erase(found);
    return true;
}

void service_gate::leave()
{
    m_inside = std::max(0, m_inside - 1);
}

std::vector<std::uint64_t> service_gate::take()
{
    std::vector<std::uint64_t> granted;
    while (!m_waiting.empty() && m_inside < std::max(1.0, m_limit)) {
        const std::uint64_t number = m_waiting.begin()->second;
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
    if (isSlow)
        m_limit *= lowerBy;
    else if (binds)
        m_limit *= raiseBy;
    m_limit = std::clamp(m_limit, leastPerReplica * share(), mostPerReplica * share());
}

} // namespace azurehill
