#pragma once

#include "core/log.h"

#include <string>

namespace azurehill {

/// \returns a JSON object with the time, level, event and \p fields, followed by a line feed.
std::string formatLogLine(log_level level, std::string_view event,
                          std::initializer_list<log_field> fields);

} // namespace azurehill
