#pragma once

#include "core/enum_names.h"

namespace azurehill {

/// \brief Whether a failed request was executed, as far as the daemon can determine.
///
/// Only DidNotRun may be reported as a refusal and retried automatically. A timeout after the
/// request was sent is Unknown, never DidNotRun.
enum class outcome { DidNotRun, Ran, Unknown };

template <>
struct enum_names<outcome>
{
    static constexpr std::array<std::string_view, 3> names = {"did_not_run", "ran", "unknown"};
};

} // namespace azurehill
