#include "quarantine/request_fingerprint.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace azurehill {

request_fingerprint fingerprintOf(std::span<const std::string_view> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields) {
        // Without the length, two requests could differ only in where a field ends.
        const std::uint64_t length = field.size();
        EVP_DigestUpdate(context.get(), &length, sizeof length);
        EVP_DigestUpdate(context.get(), field.data(), field.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    request_fingerprint result;
    std::copy_n(digest.begin(), result.bytes.size(), result.bytes.begin());
    return result;
}

std::string toText(const request_fingerprint &fingerprint)
{
    std::string text;
    for (const unsigned char byte : fingerprint.bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

std::optional<request_fingerprint> parseFingerprint(std::string_view text)
{
    request_fingerprint result;
    constexpr std::size_t digitsPerByte = 2;
    if (text.size() != digitsPerByte * result.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < result.bytes.size(); ++i) {
        const char *const begin = text.data() + digitsPerByte * i;
        constexpr int hexadecimal = 16;
        const auto [end, error]
            = std::from_chars(begin, begin + digitsPerByte, result.bytes[i], hexadecimal);
        if (error != std::errc() || end != begin + digitsPerByte)
            return std::nullopt;
    }
    return toText(result) == text ? std::optional(result) : std::nullopt;
}

} // namespace azurehill
