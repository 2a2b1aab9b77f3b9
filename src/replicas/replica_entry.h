#pragma once

#include "core/runtime_clock.h"
#include "http/http_message.h"
#include "replicas/replica_incarnation.h"

#include <string>

namespace azurehill {

/// \brief Registration of a replica in the store.
struct replica_entry
{
    replica_incarnation incarnation;
    std::string service;
    endpoint address;
    data_centre_id dataCentre;
    /// Requests that the replica processes concurrently.
    int slots = 1;
    bool draining = false;
    /// Version of the entry. It grows with each renewal and restarts with each incarnation.
    std::uint64_t sequence = 0;
    /// If it drains: the end of the time in which a request that runs there may be sent to it once
    /// more. By default it has passed.
    time_point drainDeadline = {};
    /// If it drains: a time at which it had not announced that yet. By default it is not known.
    time_point drainNotBefore = {};
};

/// \brief Resolves which of two entries with the same id is current.
///
/// A lagging reader, or a write of the old process that arrives after one of the new process, may
/// return an older entry after a newer one. Using it would send requests to a process that has
/// ended or is draining. Therefore an older incarnation, or an older entry of the same one, is
/// ignored, and an incarnation that drains never stops draining, and keeps its deadline.
/// \param known the current entry so far.
/// \param read the entry just read.
/// \returns the entry to use from now on.
replica_entry latestEntry(const replica_entry &known, const replica_entry &read);

} // namespace azurehill
