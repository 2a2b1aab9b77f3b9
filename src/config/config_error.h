#pragma once

#include <string>

namespace azurehill {

/// \brief A validation error in a configuration document.
struct config_error
{
    /// JSON pointer to the invalid value, such as "/tenants/school/weight".
    std::string path;
    std::string reason;
};

} // namespace azurehill
