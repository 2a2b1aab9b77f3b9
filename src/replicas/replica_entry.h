#pragma once

#include "http/http_message.h"
#include "replicas/replica_incarnation.h"

#include <string>

namespace azurehill {

/// \brief A replica as it registered itself in the store.
struct replica_entry
{
    replica_incarnation incarnation;
    std::string service;
    endpoint address;
    data_centre_id dataCentre;
    /// Requests that it works on at once.
    int slots = 1;
    bool draining = false;
    /// Number of the entry; it grows with every renewal and begins anew with the incarnation.
    std::uint64_t sequence = 0;
};

/// \brief Decides between two entries under one id.
///
/// A reader that lags, or a write of the old process that arrives after the new one's, shows an
/// older entry after a newer one. Taking it in would send work to a process that is gone, or to one
/// that drains: so an older incarnation, or an older entry of the same one, changes nothing, and an
/// incarnation never comes back from draining.
/// \param known the entry that holds so far.
/// \param read the entry that was read now.
/// \returns the entry that holds from now on.
replica_entry latestEntry(const replica_entry &known, const replica_entry &read);

} // namespace azurehill
