#pragma once

#include <string>

namespace azurehill {

/// \brief One fault of a configuration document.
struct config_error
{
    /// Where it is, as a JSON pointer such as "/tenants/school/weight".
    std::string path;
    std::string reason;
};

} // namespace azurehill
