#pragma once

#include "core/enum_names.h"

#include <string>

namespace azurehill {

/// \brief Why a call to the platform failed.
///
/// Conflict and Unavailable guarantee that nothing was written. After Unknown the write may have
/// taken effect; the caller must read the row back to find out and must not assume either outcome.
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
    /// The row whose check failed, or the error reported by the transport.
    std::string detail;
};

} // namespace azurehill
