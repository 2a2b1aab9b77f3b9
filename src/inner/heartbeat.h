#pragma once

#include "ownership/failure_detector.h"

#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief What two daemons tell each other; the answer to a heartbeat is one too.
struct heartbeat
{
    daemon_run from;
    std::vector<failure_evidence> evidence;
};

/// \returns the JSON-RPC request that carries \p beat.
///
/// The request is built here and not by the library's client: that one is synchronous, and its
/// headers compile up to C++14 only.
std::string encodeRequest(const heartbeat &beat, std::uint64_t id);
/// \returns the heartbeat in a JSON-RPC response, or nothing when there is none.
std::optional<heartbeat> decodeResponse(std::string_view text);

} // namespace azurehill
