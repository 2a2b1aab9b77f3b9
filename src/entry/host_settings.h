#pragma once

#include "core/core.h"
#include "core/mechanism.h"
#include "http/http_message.h"
#include "quota/quota_bound.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief What a daemon learns at its start about its host and the platform's promises.
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
    /// The peers' addresses of a few hosts, which may be stale.
    std::vector<endpoint> seeds;

    endpoint storeAddress;
    /// Whether a transaction of the store may span parts.
    bool storeSpansParts = false;
    /// Largest value of a row in bytes.
    std::size_t rowBytes = 64U << 10U;
    /// Writes a second that the store takes from all daemons together.
    double storeWritesPerSecond = 800;
    /// Reading calls a second that all daemons together may make at the store.
    double storeReadsPerSecond = 100;

    /// From the daemon's own settings, not the platform's.
    mechanism_set mechanisms;

    std::int64_t memoryBytes = 256LL << 20U;
    int fileDescriptors = 1024;

    /// How often a replica renews its entry in the store.
    duration replicaHeartbeat = seconds(1);
    /// Time within which a new configuration must be in use.
    duration configApply = seconds(2);
    /// Time within which a leaving replica must get no more work.
    duration replicaDrain = seconds(2);
    /// What quotas of accounts are judged by.
    quota_bound quota;
    /// Time between SIGTERM and SIGKILL.
    duration grace = seconds(8);
    /// Longest time that a client keeps the answer of a look-up.
    duration lookupTtl = seconds(5);
};

} // namespace azurehill
