#pragma once

#include "sched/replica_table.h"

#include <unordered_map>

namespace azurehill {

/// \brief How far a replica is trusted with work.
enum class circuit { Closed, Open, Returning };

template <>
struct enum_names<circuit>
{
    static constexpr std::array<std::string_view, 3> names = {"closed", "open", "returning"};
};

/// \brief Circuit breakers and slowness of the replicas.
///
/// Slowness is the time that calls took as a multiple of the estimate. A replica much slower than
/// its peers, or one that fails several calls in a row, gets no work for a while. It then returns
/// with one call at a time, and is charged less and less above its peers with every good one.
class replica_health
{
public:
    void onSuccess(replica_index index, double slowness, time_point now);
    void onFailure(replica_index index, time_point now);
    /// \brief A call that is under way has taken \p slowness times its estimate already.
    void onOverdue(replica_index index, double slowness, time_point now);
    /// \brief A call was sent to the replica.
    void onSent(replica_index index, time_point now);

    /// \returns whether the replica may be given a call at \p now.
    bool mayTake(replica_index index, time_point now) const;
    circuit state(replica_index index, time_point now) const;
    /// \returns the factor on estimates for this replica, relative to its peers.
    double slowness(replica_index index) const;

private:
    struct health
    {
        double slowness = 1;
        /// Whether a sample has set the slowness.
        bool known = false;
        int samples = 0;
        int failuresInRow = 0;
        int ejections = 0;
        time_point openUntil;
        time_point probedAt;
        /// Good calls that are still wanted before the replica is trusted as before.
        int successesNeeded = 0;
    };

    void sample(health &h, double slowness);
    void eject(health &h, time_point now);

    std::unordered_map<replica_index, health> m_health;
    double m_typical = 1;
};

} // namespace azurehill
