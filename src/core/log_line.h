#pragma once

#include "core/log.h"

#include <string>

namespace azurehill {

/// \returns one JSON line, with a line feed: time, level, event and \p fields.
std::string formatLogLine(log_level level, std::string_view event,
                          std::initializer_list<log_field> fields);

} // namespace azurehill
