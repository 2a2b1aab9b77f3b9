#include "sched/service_ledger.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

constexpr double usageDecaySeconds = 30;
constexpr double outputSmoothing = 0.02;
/// Less recent service than this is no sign of a tenant that takes part in the contention.
constexpr double minActiveUsage = 0.05;

} // namespace

void service_ledger::startProgram(const program_id &id, const tenant_id &tenant, double weight)
{
    family &f = m_programTrees[rootOf(id)];
    f.tenant = tenant;
    ++f.members;
    tenant_usage &usage = m_tenants[tenant];
    usage.weight = weight;
    ++usage.programs;
}

void service_ledger::endProgram(const program_id &id)
{
    const auto it = m_programTrees.find(rootOf(id));
    if (it == m_programTrees.end())
        return;
    --m_tenants[it->second.tenant].programs;
    if (--it->second.members == 0)
        m_programTrees.erase(it);
}

double service_ledger::decayed(const tenant_usage &usage, time_point now)
{
    const double age = std::chrono::duration<double>(now - usage.at).count();
    return usage.recent * std::exp(-std::max(age, 0.0) / usageDecaySeconds);
}

void service_ledger::charge(const pending_call &call, std::int64_t prefillTokens,
                            std::int64_t outputTokens, time_point now)
{
    const double perOutput = m_parameters.secondsPerOutputToken / m_parameters.slotsPerReplica;
    const double service = double(prefillTokens) / m_parameters.prefillTokensPerSecond
        + double(outputTokens) * perOutput;
    tenant_usage &usage = m_tenants[call.tenant];
    usage.recent = decayed(usage, now) + service;
    usage.at = now;
    m_averageOutputTokens += outputSmoothing * (double(outputTokens) - m_averageOutputTokens);
    if (const auto it = m_programTrees.find(rootOf(call.program)); it != m_programTrees.end()) {
        it->second.service += service;
        it->second.output += double(outputTokens);
        ++it->second.calls;
    }
}

double service_ledger::attained(const program_id &id) const
{
    const auto it = m_programTrees.find(rootOf(id));
    return it == m_programTrees.end() ? 0 : it->second.service;
}

double service_ledger::excess(const tenant_id &tenant, time_point now) const
{
    double all = 0;
    double weights = 0;
    for (const auto &[id, usage] : m_tenants) {
        const double recent = decayed(usage, now);
        if (recent < minActiveUsage && usage.programs == 0)
            continue;
        all += recent;
        weights += usage.weight;
    }
    const auto it = m_tenants.find(tenant);
    if (it == m_tenants.end() || all <= 0)
        return 0;
    return std::max(0.0, decayed(it->second, now) / all - it->second.weight / weights);
}

int service_ledger::programs(const tenant_id &tenant) const
{
    const auto it = m_tenants.find(tenant);
    return it == m_tenants.end() ? 0 : it->second.programs;
}

double service_ledger::expectedOutput(const program_id &id) const
{
    const auto it = m_programTrees.find(rootOf(id));
    if (it == m_programTrees.end() || it->second.calls == 0)
        return m_averageOutputTokens;
    return (it->second.output + m_averageOutputTokens) / (it->second.calls + 1);
}

} // namespace azurehill
