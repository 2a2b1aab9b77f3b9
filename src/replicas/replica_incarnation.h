#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief Identifies one process of a replica by the replica's id and the start of the process.
///
/// A replica may restart under the same id. The new process has an empty cache and shares no state
/// with the old one, so observations of the old process don't apply to it.
struct replica_incarnation
{
    upstream_id id;
    /// Milliseconds since 1970 by the replica's own clock; 0 if unknown. It only orders the starts
    /// under one id, so clock skew between hosts does no harm.
    std::int64_t startedUnixMs = 0;

    friend auto operator<=>(const replica_incarnation &, const replica_incarnation &) = default;
};

} // namespace azurehill
