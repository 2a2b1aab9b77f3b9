#pragma once

#include "core/core.h"
#include "http/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief State that a daemon publishes about itself.
struct member_state
{
    daemon_id name;
    /// Start of the process in milliseconds since 1970, so that it grows with each restart.
    std::int64_t incarnation = 0;
    /// Incremented whenever the daemon changes its state or refutes a suspicion.
    std::uint64_t version = 0;
    endpoint clients;
    endpoint peers;
    endpoint gossip;
    data_centre_id dataCentre;
    /// Whether callers may be directed to the daemon.
    bool serving = false;
    /// Whether the daemon reaches the store directly.
    bool storeReachable = false;
    /// Processor of the daemon's host in cores; 0 if it does not state it.
    double cores = 0;
};

/// \brief Compares two states of one daemon by incarnation and version.
/// \returns negative, zero or positive if \p a is older than, as recent as or newer than \p b.
inline auto compareAge(const member_state &a, const member_state &b)
{
    return std::tie(a.incarnation, a.version) <=> std::tie(b.incarnation, b.version);
}

/// \returns \p states as JSON text, the format of a daemon's row in the store.
std::string encodeMembers(const std::vector<member_state> &states);
/// \returns the states in \p text, or nothing if it is malformed.
std::optional<std::vector<member_state>> decodeMembers(std::string_view text);

} // namespace azurehill
