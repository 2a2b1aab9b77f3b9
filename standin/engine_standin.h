#pragma once

#include "http/http_server.h"

namespace azurehill::standin {

struct engine_settings
{
    duration prefillPerToken = std::chrono::microseconds(20);
    duration perToken = milliseconds(2);
};

/// \returns a handler that plays a model engine: streamed chat completions, records of what ran.
///
/// "GET /records" lists every completion with its program, turn and content.
request_handler makeEngine(engine_settings settings);

} // namespace azurehill::standin
