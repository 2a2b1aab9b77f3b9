#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace azurehill {

enum class log_level { Debug, Info, Warning, Error };

template <>
struct enum_names<log_level>
{
    static constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
};

/// \brief Key and value of one field of a structured log line.
struct log_field
{
    std::string_view name;
    std::variant<std::int64_t, double, bool, std::string> value;
};

/// \brief Sets the minimum level: events below it are not logged.
void setLogLevel(log_level minLevel);

/// \brief Writes a line with one JSON object to standard error: time, level, event and \p fields.
void logEvent(log_level level, std::string_view event,
              std::initializer_list<log_field> fields = {});

} // namespace azurehill
