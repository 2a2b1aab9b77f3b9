#pragma once

#include "daemon/control.h"
#include "http/problem.h"

namespace azurehill {

/// \brief A caller's call as read from its request.
struct parsed_call
{
    call_spec spec;
    /// Whether the caller wants server-sent events.
    bool stream = false;
};

/// \brief Reads a model, tool or plain call from \p request.
/// \returns the call, or the problem document to answer with.
tl::expected<parsed_call, problem> parseCall(const http_request &request,
                                             const configuration &config);

} // namespace azurehill
