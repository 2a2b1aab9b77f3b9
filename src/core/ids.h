#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Strongly typed string id: ids with different tags do not convert to each other.
template <class Tag>
struct basic_id
{
    std::string value;

    bool empty() const { return value.empty(); }
    friend auto operator<=>(const basic_id &, const basic_id &) = default;
};

using program_id = basic_id<struct program_tag>;
using daemon_id = basic_id<struct daemon_tag>;
using tenant_id = basic_id<struct tenant_tag>;
using upstream_id = basic_id<struct upstream_tag>;
using data_centre_id = basic_id<struct data_centre_tag>;

/// \brief Fencing token: increases with every change of ownership. A write with an older token
/// fails.
using fencing_number = std::uint64_t;

/// \returns a new program id: 96 random bits for a root program; the id of a sub-agent is its
/// parent's id followed by a random suffix, so it has the root's id as a prefix.
/// \param parent the parent's id, or an empty id for a root program.
program_id makeProgramId(const program_id &parent = {});

/// \returns the id of the root program of \p id, which is \p id itself for a root.
///
/// Placement, budget and history are keyed by the root's id, so that a program and all its
/// sub-agents are owned by the same daemon.
program_id rootOf(const program_id &id);

/// \returns whether \p text is a syntactically valid program id.
bool isProgramId(std::string_view text);

/// \returns \p bytes random bytes as lower-case hexadecimal digits.
std::string randomHex(int bytes);

/// \returns a 64-bit hash of \p text that is the same in all processes and on all hosts.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace azurehill

template <class Tag>
struct std::hash<azurehill::basic_id<Tag>>
{
    std::size_t operator()(const azurehill::basic_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
