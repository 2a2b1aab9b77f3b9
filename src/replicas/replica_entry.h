#pragma once

#include "core/core.h"
#include "http/http_message.h"

#include <string>

namespace azurehill {

/// \brief A replica as it registered itself in the store.
struct replica_entry
{
    /// New at each start of the replica.
    upstream_id id;
    std::string service;
    endpoint address;
    data_centre_id dataCentre;
    /// Requests that it works on at once.
    int slots = 1;
    bool draining = false;
    /// Number of the entry; it grows with every renewal.
    std::uint64_t sequence = 0;
};

} // namespace azurehill
