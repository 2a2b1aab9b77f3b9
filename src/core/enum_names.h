#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace azurehill {

/// \brief Table of the names of an enumeration, in the order of its enumerators.
///
/// Specialise with `static constexpr std::array<std::string_view, N> names`. The enumerators must
/// count up from zero.
template <class Enum>
struct enum_names;

/// \returns the name of \p value, or "?" when it is none of the enumerators.
template <class Enum>
constexpr std::string_view toName(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    const auto &names = enum_names<Enum>::names;
    return index < names.size() ? names[index] : std::string_view("?");
}

/// \returns the enumerator called \p name, or nothing.
template <class Enum>
constexpr std::optional<Enum> fromName(std::string_view name)
{
    const auto &names = enum_names<Enum>::names;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

} // namespace azurehill
