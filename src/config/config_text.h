#pragma once

#include "config/config_error.h"
#include "config/configuration.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Reads a configuration document and checks it as a whole.
/// \returns the configuration, or every fault with its path; unknown keys are faults.
tl::expected<configuration, std::vector<config_error>> parseConfiguration(std::string_view text);

/// \returns the JSON text of \p c.
std::string toText(const configuration &c);

} // namespace azurehill
