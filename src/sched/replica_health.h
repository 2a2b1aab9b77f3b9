#pragma once

#include "sched/replica_table.h"

#include <unordered_map>

namespace azurehill {

/// \brief State of the circuit breaker of a replica.
enum class circuit_state { Closed, Open, HalfOpen };

template <>
struct enum_names<circuit_state>
{
    static constexpr std::array<std::string_view, 3> names = {"closed", "open", "returning"};
};

/// \brief Circuit breaker and outlier ejection for the replicas.
///
/// Slowness is the duration of calls as a multiple of the estimate. A replica that is much slower
/// than its peers, or that fails several calls in a row, is ejected for a time. It then becomes
/// half-open and gets one probe call at a time; each successful call lowers its slowness towards
/// that of its peers.
class replica_health
{
public:
    void onSuccess(replica_index index, double slowness, time_point now);
    void onFailure(replica_index index, time_point now);
    /// \brief A call still in progress has already taken \p slowness times its estimate.
    void onOverdue(replica_index index, double slowness, time_point now);
    /// \brief Records that a call was sent to the replica.
    void onSent(replica_index index, time_point now);

    /// \returns whether the circuit breaker permits a call to the replica at \p now.
    bool mayReceiveCall(replica_index index, time_point now) const;
    circuit_state state(replica_index index, time_point now) const;
    /// \returns the factor to apply to estimates for this replica, relative to its peers.
    double slowness(replica_index index) const;

private:
    struct health
    {
        double slowness = 1;
        /// Whether there has been a sample of the slowness.
        bool known = false;
        int samples = 0;
        int failuresInRow = 0;
        int ejections = 0;
        time_point openUntil;
        time_point probedAt;
        /// Successful calls still needed to close the circuit.
        int successesNeeded = 0;
    };

    void sample(health &h, double slowness);
    void eject(health &h, time_point now);

    std::unordered_map<replica_index, health> m_health;
    double m_typicalSlowness = 1;
};

} // namespace azurehill
