#pragma once

#include "ownership/failure_detector.h"

#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Heartbeat message of a daemon, with its failure evidence. The response is a heartbeat
/// too.
struct heartbeat
{
    daemon_run from;
    std::vector<failure_evidence> evidence;
};

/// \returns the JSON-RPC request that carries \p beat.
///
/// The client of libjsonrpccpp is not used, since it is synchronous and its headers compile only up
/// to C++14.
std::string encodeRequest(const heartbeat &beat, std::uint64_t id);
/// \returns the heartbeat in a JSON-RPC response, or nothing if \p text contains none.
std::optional<heartbeat> decodeResponse(std::string_view text);

} // namespace azurehill
