#pragma once

#include "sched/call.h"
#include "sched/prefix_map.h"
#include "sched/replica_health.h"
#include "sched/replica_table.h"
#include "sched/scheduler_parameters.h"

#include <random>

namespace azurehill {

/// \brief Where a call goes and what is expected there.
struct route
{
    replica_index replica = noReplica;
    /// Prompt tokens that the replica has to compute.
    std::int64_t prefillTokens = 0;
    /// Expected time until the call ends there.
    double seconds = 0;
};

/// \brief Chooses the replica where a call is expected to end first.
class router
{
public:
    router(const scheduler_parameters &knobs, std::uint64_t seed)
        : m_parameters(knobs), m_random(seed)
    { }
    void setParameters(const scheduler_parameters &knobs) { m_parameters = knobs; }

    /// \param excluded a replica not to choose, after a failure there.
    /// \returns the route, or nothing when no replica of the service may take a call.
    std::optional<route> choose(const pending_call &call, double expectedOutput,
                                const replica_table &table, const prefix_map &prefixes,
                                const replica_health &health, time_point now,
                                replica_index excluded = noReplica);

private:
    void collect(const std::vector<replica_index> &from, std::size_t most);
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
