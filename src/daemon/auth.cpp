#include "daemon/auth.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace azurehill {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest)
        hex += fmt::format("{:02x}", byte);
    return hex;
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view bearerToken(const http_request &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.headers.get("Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

std::optional<tenant_id> authenticate(const configuration &config, const http_request &request)
{
    const std::string digest = sha256Hex(bearerToken(request));
    std::optional<tenant_id> found;
    for (const auto &[name, t] : config.tenants) {
        if (equalInConstantTime(digest, t.tokenSha256))
            found = tenant_id{name};
    }
    return found;
}

} // namespace azurehill
