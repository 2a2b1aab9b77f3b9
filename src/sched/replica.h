#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace azurehill {

/// \brief One upstream process as a daemon knows it.
struct replica
{
    upstream_id id;
    /// The configured service that it belongs to.
    std::string service;
    data_centre_id dataCentre;
    std::string address;
    bool leaving = false;
    /// Calls of this daemon that are under way there.
    int outstanding = 0;
};

} // namespace azurehill
