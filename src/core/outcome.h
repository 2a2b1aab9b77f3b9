#pragma once

#include "core/enum_names.h"

namespace azurehill {

/// \brief What is known of a request that did not end well.
///
/// Only DidNotRun may be called a refusal and sent again by itself. A time-out after the bytes left
/// is Unknown, never DidNotRun.
enum class outcome { DidNotRun, Ran, Unknown };

template <>
struct enum_names<outcome>
{
    static constexpr std::array<std::string_view, 3> names = {"did_not_run", "ran", "unknown"};
};

} // namespace azurehill
