#pragma once

#include "core/core.h"
#include "http/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace azurehill {

/// \brief What a daemon tells the others of itself.
struct member_state
{
    daemon_id name;
    /// Start of the process in milliseconds since 1970; a restarted daemon has a larger one.
    std::int64_t incarnation = 0;
    /// Grows whenever the daemon tells something else than before, or denies that it is gone.
    std::uint64_t version = 0;
    endpoint clients;
    endpoint peers;
    endpoint gossip;
    data_centre_id dataCentre;
    /// Whether callers may be sent there.
    bool serving = false;
    /// Whether the daemon reaches the store itself.
    bool storeReachable = false;
};

/// \returns negative, zero or positive as \p a is an older word of a daemon than \p b, the same
/// one, or a newer one.
inline auto compareAge(const member_state &a, const member_state &b)
{
    return std::tie(a.incarnation, a.version) <=> std::tie(b.incarnation, b.version);
}

/// \returns \p states as the text that a daemon's row in the store holds.
std::string encodeMembers(const std::vector<member_state> &states);
/// \returns the states in \p text, or nothing when it can't be read.
std::optional<std::vector<member_state>> decodeMembers(std::string_view text);

} // namespace azurehill
