#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <unordered_map>

namespace azurehill {

/// \brief Service that programs and tenants have had, in seconds of one replica.
class service_ledger
{
public:
    explicit service_ledger(const scheduler_parameters &knobs) : m_parameters(knobs) { }
    void setParameters(const scheduler_parameters &knobs) { m_parameters = knobs; }

    void startProgram(const program_id &id, const tenant_id &tenant, double weight);
    void endProgram(const program_id &id);
    /// \brief Charges a call to its family and its tenant.
    void charge(const pending_call &call, std::int64_t prefillTokens, std::int64_t outputTokens,
                time_point now);

    /// \returns service of the family of \p id so far.
    double attained(const program_id &id) const;
    /// \returns by how much the tenant's part of the recent service exceeds its share, 0 to 1.
    double excess(const tenant_id &tenant, time_point now) const;
    /// \returns programs of the tenant that are under way here.
    int programs(const tenant_id &tenant) const;
    /// \returns output tokens that the next call of \p id may be expected to give.
    double expectedOutput(const program_id &id) const;

private:
    struct family
    {
        tenant_id tenant;
        double service = 0;
        double output = 0;
        int calls = 0;
        int members = 0;
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
    std::unordered_map<program_id, family> m_programTrees;
    std::unordered_map<tenant_id, tenant_usage> m_tenants;
    double m_averageOutputTokens = 200;
};

} // namespace azurehill
