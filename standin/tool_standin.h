#pragma once

#include "http/http_server.h"

namespace azurehill::standin {

/// \returns a handler that plays a tool or a plain service: it answers every call and records its
/// idempotency key. It does not look whether a key came before, so a call sent twice runs twice.
///
/// "GET /records" lists the calls that ran and tells how many have begun.
request_handler makeTool(duration callTime);

} // namespace azurehill::standin
