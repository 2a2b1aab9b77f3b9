#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace azurehill {

/// \brief An upstream process, as known to this daemon.
struct replica
{
    upstream_id id;
    /// Configured service to which it belongs.
    std::string service;
    data_centre_id dataCentre;
    std::string address;
    bool leaving = false;
    /// Calls of this daemon in progress at the replica.
    int outstanding = 0;
};

} // namespace azurehill
