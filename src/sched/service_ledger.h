#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <unordered_map>

namespace azurehill {

/// \brief Accounting of the service that programs and tenants have received, in replica seconds.
class service_ledger
{
public:
    explicit service_ledger(const scheduler_parameters &parameters) : m_parameters(parameters) { }
    void setParameters(const scheduler_parameters &parameters) { m_parameters = parameters; }

    void startProgram(const program_id &id, const tenant_id &tenant, double weight);
    void endProgram(const program_id &id);
    /// \brief Charges a call to its program tree, a root program with its sub-agents, and to its
    /// tenant.
    void charge(const pending_call &call, std::int64_t prefillTokens, std::int64_t outputTokens,
                time_point now);

    /// \returns the service attained by the program tree of \p id.
    double attainedService(const program_id &id) const;
    /// \returns by how much the tenant's fraction of the recent service exceeds its fair share, 0
    /// to 1.
    double shareExcess(const tenant_id &tenant, time_point now) const;
    /// \returns the number of running programs of the tenant at this daemon.
    int programs(const tenant_id &tenant) const;
    /// \returns the expected number of output tokens of the next call of \p id.
    double expectedOutput(const program_id &id) const;

private:
    struct program_tree
    {
        tenant_id tenant;
        double service = 0;
        double output = 0;
        int calls = 0;
        int treePrograms = 0;
    };
    struct tenant_usage
    {
        double weight = 1;
        int programs = 0;
        double recent = 0;
        time_point at;
    };

    static double decayed(const tenant_usage &usage, time_point now);

    scheduler_parameters m_parameters;
    std::unordered_map<program_id, program_tree> m_programTrees;
    std::unordered_map<tenant_id, tenant_usage> m_tenants;
    double m_averageOutputTokens = 200;
};

} // namespace azurehill
