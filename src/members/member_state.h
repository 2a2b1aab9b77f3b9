#pragma once

#include "core/core.h"
#include "http/http_message.h"
#include "replicas/place_division.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurehill {

/// \brief What a daemon tells the others of itself.
struct member_state
{
    daemon_id name;
    /// Start of the process in milliseconds since 1970; a restarted daemon has a larger one.
    std::int64_t incarnation = 0;
    /// Grows with every round of the daemon.
    std::uint64_t beat = 0;
    endpoint clients;
    endpoint peers;
    endpoint gossip;
    data_centre_id dataCentre;
    /// Whether callers may be sent there.
    bool serving = false;
    /// Whether the daemon reaches the store itself.
    bool storeReachable = false;
    std::uint64_t configVersion = 0;
    /// What the daemon wants of the engines, and what it holds to be right there.
    place_words placeWords;
};

/// \returns \p states as one message.
std::string encodeMembers(const std::vector<member_state> &states);
/// \returns the states in \p message, or nothing when it can't be read.
std::optional<std::vector<member_state>> decodeMembers(std::string_view message);

} // namespace azurehill
