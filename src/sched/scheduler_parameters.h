#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief Tunable parameters of the scheduler, set by presets and by the bench.
/// docs/SCHEDULING.md documents their values.
struct scheduler_parameters
{
    /// Nominal engine rates for estimates; each replica's deviation from them is measured as its
    /// slowness.
    double prefillTokensPerSecond = 6000;
    double secondsPerOutputToken = 0.02;
    int slotsPerReplica = 16;

    /// Maximum number of calls queued at an engine in addition to those in its batch.
    int maxEngineQueue = 4;
    std::int64_t tokensInFlightPerReplica = 200'000;
    /// Weight of prefill time relative to waiting time: prefill also delays the other calls on
    /// the replica.
    double prefillWeight = 24;
    /// Range of the random factor on costs that keeps daemons from herding to the same replica on
    /// a stale load report.
    double costJitter = 0.5;
    /// Cost added for a replica in another data centre.
    duration remotePenalty = milliseconds(3);

    /// Seconds by which a call moves back in the queue for each second of service that its
    /// program has attained.
    double delayPerServiceSecond = 20;

    /// Calls per slot above which all new programs are refused.
    double maxCallsPerSlot = 1.0;
    /// Calls per slot above which new programs of tenants above their fair share are refused.
    double fairShareCallsPerSlot = 0.45;
    /// Fraction of the recent service by which a tenant may exceed its fair share before it
    /// counts as above it.
    double shareExcessTolerance = 0.15;
    /// Maximum ratio of retries to calls.
    double retryRatio = 0.1;
};

} // namespace azurehill
