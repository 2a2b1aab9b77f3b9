#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief A string that is an id of one kind and converts to no other kind.
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

/// \brief Number that grows with every change of owners. A write that carries an older one fails.
using fencing_number = std::uint64_t;

/// \returns a new program id of 96 random bits; ids of sub-agents begin with their root's id.
/// \param parent the parent's id, or an empty id for a root program.
program_id makeProgramId(const program_id &parent = {});

/// \returns the id of the root program that \p id belongs to (itself for a root).
///
/// Placement, budget and history are kept by root, so a family always lives on one daemon.
program_id rootOf(const program_id &id);

/// \returns whether \p text has the form of a program id.
bool isProgramId(std::string_view text);

/// \returns \p bytes random bytes as lower-case hexadecimal digits.
std::string randomHex(int bytes);

/// \returns a 64 bit hash that is the same in every process.
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
