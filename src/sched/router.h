#pragma once

#include "sched/call.h"
#include "sched/prefix_map.h"
#include "sched/replica_health.h"
#include "sched/replica_table.h"
#include "sched/scheduler_parameters.h"

#include <random>

namespace azurehill {

/// \brief Selected replica for a call, with the estimated cost there.
struct route
{
    replica_index replica = noReplica;
    /// Prompt tokens that the replica has to prefill.
    std::int64_t prefillTokens = 0;
    /// Expected time until the call completes there.
    double seconds = 0;
};

/// \brief Selects the candidate replica with the lowest estimated cost for a call: mainly the
/// expected time until it completes there.
class router
{
public:
    router(const scheduler_parameters &parameters, std::uint64_t seed)
        : m_parameters(parameters), m_random(seed)
    { }
    void setParameters(const scheduler_parameters &parameters) { m_parameters = parameters; }

    /// \param excluded a replica that must not be chosen, after a failure there.
    /// \returns the route, or nothing if no replica of the service may receive a call.
    std::optional<route> choose(const pending_call &call, double expectedOutput,
                                const replica_table &table, const prefix_map &prefixes,
                                const replica_health &health, time_point now,
                                replica_index excluded = noReplica);

private:
    void sampleCandidates(const std::vector<replica_index> &from, std::size_t maxCount);
    void addHolders(prefix_key prefix, const pending_call &call, const replica_table &table,
                    const prefix_map &prefixes);
    double waitSeconds(const load_estimate &load) const;
    std::int64_t cachedTokens(const pending_call &call, replica_index index,
                              const prefix_map &prefixes) const;

    scheduler_parameters m_parameters;
    std::minstd_rand m_random;
    std::vector<replica_index> m_candidates;
};

} // namespace azurehill
