#pragma once

#include "http/http_server.h"

namespace azurehill::standin {

/// \returns a handler that plays the platform: table, object store and host list, in memory.
///
/// "POST /hosts" with a host's JSON object sets its entry; the list shows it \p hostLag later.
request_handler makePlatform(duration hostLag);

} // namespace azurehill::standin
