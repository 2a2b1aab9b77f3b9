#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <optional>
#include <string_view>

namespace azurehill {

/// \brief SHA-256 digest of an API key. The key itself is never stored.
struct key_digest
{
    std::array<unsigned char, 32> bytes{};

    friend bool operator==(const key_digest &, const key_digest &) = default;
};

key_digest digestOf(std::string_view key);

/// \returns the key in \p authorization, the value of an HTTP Authorization header, or nothing if
/// its scheme is not "Bearer" or it has no key.
std::optional<std::string_view> bearerKey(std::string_view authorization);

} // namespace azurehill

template <>
struct std::hash<azurehill::key_digest>
{
    std::size_t operator()(const azurehill::key_digest &digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof value);
        return value;
    }
};
