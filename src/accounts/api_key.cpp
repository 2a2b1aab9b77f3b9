#include "accounts/api_key.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cctype>

namespace azurehill {

key_digest digestOf(std::string_view key)
{
    key_digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

std::optional<std::string_view> bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "bearer";
    if (authorization.size() <= scheme.size() || authorization[scheme.size()] != ' ')
        return std::nullopt;
    // Scheme names are case-insensitive.
    const bool isBearer = std::equal(
        scheme.begin(), scheme.end(), authorization.begin(), [](char wanted, char said) {
            return wanted == std::tolower(static_cast<unsigned char>(said));
        });
    if (!isBearer)
        return std::nullopt;
    const std::size_t start = authorization.find_first_not_of(' ', scheme.size());
    if (start == std::string_view::npos)
        return std::nullopt;
    return authorization.substr(start);
}

} // namespace azurehill
