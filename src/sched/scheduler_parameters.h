#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief What the presets and the bench may turn. docs/SCHEDULING.md says how each was set.
struct scheduler_parameters
{
    /// Engine rates that estimates start from; each replica's slowness is learnt.
    double prefillTokensPerSecond = 6000;
    double secondsPerOutputToken = 0.02;
    int slotsPerReplica = 16;

    /// Calls that may wait at an engine on top of those in its batch.
    int maxEngineQueue = 4;
    std::int64_t tokensInFlightPerReplica = 200'000;
    /// Weight of prefill against waiting: prefill delays the others on the replica, too.
    double prefillWeight = 24;
    /// Width of the random factor on costs that keeps daemons from herding on one late report.
    double spread = 0.5;
    /// Extra cost of another data centre.
    duration distance = milliseconds(3);

    /// Seconds that a call goes back in the order for each second of service of its program.
    double delayPerServiceSecond = 20;

    /// Calls per slot from which new programs are refused.
    double maxCallsPerSlot = 1.0;
    /// Calls per slot from which tenants above their share are refused.
    double fairShareCallsPerSlot = 0.45;
    /// Part of the recent service above its share from which a tenant counts as such.
    double shareExcessTolerance = 0.15;
    /// Retries as a share of the calls.
    double retryRatio = 0.1;
};

} // namespace azurehill
