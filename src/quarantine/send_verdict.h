#pragma once

#include "core/core.h"

#include <variant>

namespace azurehill {

/// \brief The request may be sent to a replica.
struct send_allowed
{
    /// Number of replicas that ended under the request, or may have.
    int crashes = 0;
};

/// \brief The request may not be sent until more is known: as many replicas as the limit allows may
/// have ended under it, and fewer certainly have.
struct send_deferred
{
    /// Time after which more is known.
    duration retryAfter = duration::zero();
};

/// \brief The request is quarantined: as many replicas as the limit allows have ended under it.
struct send_rejected
{
    int endedReplicas = 0;
};

/// \brief This daemon does not know yet what the others know of lost sends.
struct send_undecided
{
    /// Time after which the client may ask again.
    duration retryAfter = duration::zero();
};

/// \brief Decision whether a request may be sent to a replica once more.
using send_verdict = std::variant<send_allowed, send_deferred, send_rejected, send_undecided>;

/// \returns whether \p verdict allows the request to be sent.
inline bool isAllowed(const send_verdict &verdict)
{
    return std::holds_alternative<send_allowed>(verdict);
}

} // namespace azurehill
