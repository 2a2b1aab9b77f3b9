#pragma once

#include "core/core.h"
#include "core/mechanism.h"
#include "http/http_message.h"
#include "quota/quota_bound.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Settings of a daemon's host and guarantees of the platform, read when the daemon starts.
struct host_settings
{
    daemon_id name;
    data_centre_id dataCentre;
    std::string ip;
    /// Where clients connect.
    endpoint clients;
    /// Where the platform asks whether this daemon is ready.
    endpoint readiness;
    /// Where clients ask for addresses.
    endpoint lookups;
    /// Where other daemons connect.
    endpoint peers;
    /// Where datagrams of other daemons arrive.
    endpoint gossip;
    /// Where datagrams on credits arrive.
    endpoint credits;
    /// Where datagrams on engine slots arrive.
    endpoint slots;
    /// Where datagrams on replicas that ended under requests arrive.
    endpoint crashes;
    /// Peer addresses of a few hosts, which may be stale.
    std::vector<endpoint> seeds;

    endpoint storeAddress;
    /// Whether a transaction of the store may span parts.
    bool storeSpansParts = false;
    /// Maximum size of a row's value in bytes.
    std::size_t rowBytes = 64U << 10U;
    /// Maximum number of writes per second that the store accepts from all daemons together.
    double storeWritesPerSecond = 800;
    /// Maximum number of read calls per second that all daemons together may make to the store.
    double storeReadsPerSecond = 100;

    /// From the daemon's own settings, not the platform's.
    mechanism_set mechanisms;

    /// Processor that the daemon may use, in cores.
    double cores = 1;
    std::int64_t memoryBytes = 256LL << 20U;
    int fileDescriptors = 1024;

    /// How often a replica renews its entry in the store.
    duration replicaHeartbeat = seconds(1);
    /// Time within which a new configuration must be in use.
    duration configApply = seconds(2);
    /// Time within which a leaving replica must stop getting requests.
    duration replicaDrain = seconds(2);
    /// Bounds by which account quotas are enforced.
    quota_bound quota;
    /// Time between SIGTERM and SIGKILL.
    duration grace = seconds(8);
    /// Maximum time for which a client caches the answer of a look-up.
    duration lookupTtl = seconds(5);
};

} // namespace azurehill
