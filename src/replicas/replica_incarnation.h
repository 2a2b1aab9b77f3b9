#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief One process of a replica: the replica's id and when that process began.
///
/// A replica may start again under the id that it had. The new process has read nothing, leaves
/// nothing behind of the old one's state, and must not be judged by it.
struct replica_incarnation
{
    upstream_id id;
    /// Milliseconds since 1970 by the replica's own clock; 0 when it was not told. It only orders
    /// the starts under one id, so clocks that differ between hosts do no harm.
    std::int64_t startedUnixMs = 0;

    friend auto operator<=>(const replica_incarnation &, const replica_incarnation &) = default;
};

} // namespace azurehill
