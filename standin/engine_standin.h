#pragma once

#include "http/http_server.h"
#include "standin/engine_cache.h"

namespace azurehill::standin {

struct engine_settings
{
    duration prefillPerToken = std::chrono::microseconds(20);
    duration perToken = milliseconds(2);
    engine_cache_settings cache;
};

/// \returns a handler that plays a model engine: streamed chat completions, records of what ran.
///
/// "GET /records" lists every completion with its program, turn and content; see engine_cache for
/// the paths of orders and cache events.
request_handler makeEngine(engine_settings settings);

} // namespace azurehill::standin
