#pragma once

#include "core/outcome.h"
#include "core/runtime_clock.h"
#include "http/http_message.h"

#include <optional>
#include <string>

namespace azurehill {

/// \brief An RFC 9457 problem document with the extension members "outcome" and "retry_after_ms".
struct problem
{
    int status = 500;
    /// Last component of the type URI, such as "budget-exhausted".
    std::string type;
    std::string title;
    std::string detail;
    outcome ran = outcome::DidNotRun;
    /// Time after which the client should retry.
    std::optional<duration> retryAfter;
};

/// \returns the JSON text of \p p.
std::string toJson(const problem &p);
/// \returns \p p as a response of type application/problem+json, with a Retry-After header if
/// retryAfter is set.
http_response toResponse(const problem &p);

} // namespace azurehill
