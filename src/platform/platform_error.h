#pragma once

#include "core/enum_names.h"

#include <string>

namespace azurehill {

/// \brief How a call to the platform failed.
///
/// Conflict and Unavailable say that nothing was written. After Unknown the write may have taken
/// effect: it is resolved by reading back, never by guessing.
enum class platform_error_kind { Conflict, NotFound, Unavailable, Unknown };

template <>
struct enum_names<platform_error_kind>
{
    static constexpr std::array<std::string_view, 4> names
        = {"conflict", "not_found", "unavailable", "unknown"};
};

struct platform_error
{
    platform_error_kind kind = platform_error_kind::Unavailable;
    /// The row whose check failed, or what the transport said.
    std::string detail;
};

} // namespace azurehill
