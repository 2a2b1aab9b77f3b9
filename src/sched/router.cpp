#include "sched/router.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Candidates drawn by chance in a large group. Few are as good as all of them (two choices do
/// most of it), and they keep the daemons from all picking the one replica that looks best.
constexpr std::size_t maxNearCandidates = 12;
constexpr std::size_t maxFarCandidates = 12;
/// Calls beyond the slots of a batch wait for about this many tokens of a call before them.
constexpr double tokensPerWaitingCall = 200;

} // namespace

void router::collect(const std::vector<replica_index> &from, std::size_t most)
{
    if (from.size() <= most) {
        m_candidates.insert(m_candidates.end(), from.begin(), from.end());
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    for (std::size_t i = 0; i < most; ++i)
        m_candidates.push_back(from[any(m_random)]);
}

void router::addHolders(prefix_key prefix, const pending_call &call, const replica_table &table,
                        const prefix_map &prefixes)
{
    for (const prefix_map::holder &h : prefixes.holders(prefix)) {
        if (table.isOpen(h.replica) && table.at(h.replica).service == call.service)
            m_candidates.push_back(h.replica);
    }
}

double router::waitSeconds(const load_estimate &load) const
{
    const double slots = m_parameters.slotsPerReplica;
    const double perCall = tokensPerWaitingCall * m_parameters.secondsPerOutputToken;
    const double waiting = std::max(0.0, load.calls - slots);
    return load.prefillTokens / m_parameters.prefillTokensPerSecond + waiting * perCall / slots;
}

std::int64_t router::cachedTokens(const pending_call &call, replica_index index,
                                  const prefix_map &prefixes) const
{
    double cached = prefixes.expected(stableHash(call.program.value), index);
    if (call.sharedPrefix != 0)
        cached = std::max(cached, prefixes.expected(call.sharedPrefix, index));
    return std::min(std::int64_t(cached), call.promptTokens);
}

std::optional<route> router::choose(const pending_call &call, double expectedOutput,
                                    const replica_table &table, const prefix_map &prefixes,
                                    const replica_health &health, time_point now,
                                    replica_index excluded)
{
    const replica_group &group = table.group(call.service);
    m_candidates.clear();
    addHolders(stableHash(call.program.value), call, table, prefixes);
    if (call.sharedPrefix != 0)
        addHolders(call.sharedPrefix, call, table, prefixes);
    collect(group.near, maxNearCandidates);
    collect(group.far, maxFarCandidates);

    std::uniform_real_distribution<double> factor(1, 1 + m_parameters.spread);
    const double distance = std::chrono::duration<double>(m_parameters.distance).count();
    std::optional<route> best;
    double bestCost = 0;
    for (const replica_index index : m_candidates) {
        if (index == excluded || !health.mayTake(index, now))
            continue;
        const load_estimate load = table.load(index);
        const std::int64_t prefill = call.promptTokens - cachedTokens(call, index, prefixes);
        const double prefillSeconds = double(prefill) / m_parameters.prefillTokensPerSecond;
        const double busy = std::min(load.calls / m_parameters.slotsPerReplica, 1.0);
        const double decode = expectedOutput * m_parameters.secondsPerOutputToken * (1 + busy) / 2;
        const double wait = waitSeconds(load);
        const double slow = health.slowness(index);
        const bool isFar = table.at(index).dataCentre != table.here();
        const double cost = slow * (wait + decode + m_parameters.prefillWeight * prefillSeconds)
                * factor(m_random)
            + (isFar ? distance : 0);
        if (!best || cost < bestCost) {
            best = route{index, prefill, slow * (wait + decode + prefillSeconds)};
            bestCost = cost;
        }
    }
    return best;
}

} // namespace azurehill
