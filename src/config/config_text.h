#pragma once

#include "config/config_error.h"
#include "config/configuration.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Parses and validates a configuration document.
/// \returns the configuration, or all errors with their paths. Unknown keys are errors.
tl::expected<configuration, std::vector<config_error>> parseConfiguration(std::string_view text);

/// \returns the JSON text of \p c.
std::string toText(const configuration &c);

} // namespace azurehill
