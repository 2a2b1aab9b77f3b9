#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace azurehill {

/// \brief Traits class with the external names of the enumerators, in the order of declaration.
///
/// Specialisations define `static constexpr std::array<std::string_view, N> names`. The values of
/// the enumerators must be consecutive and begin at zero.
template <class Enum>
struct enum_names;

/// \returns the name of \p value, or "?" if it is not an enumerator.
template <class Enum>
constexpr std::string_view toName(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    const auto &names = enum_names<Enum>::names;
    return index < names.size() ? names[index] : std::string_view("?");
}

/// \returns the enumerator with the name \p name, or std::nullopt if there is none.
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
