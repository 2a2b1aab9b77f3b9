#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Identity of a request over all of its attempts: a cryptographic digest of what its client
/// asks for.
///
/// Attempts of one request have the same fingerprint through every daemon. Requests that differ in
/// any field have different ones, so that no client can pass its request off as another one's.
struct request_fingerprint
{
    std::array<unsigned char, 16> bytes{};

    friend auto operator<=>(const request_fingerprint &, const request_fingerprint &) = default;
};

/// \returns the fingerprint of a request with \p fields, whose order and borders count.
request_fingerprint fingerprintOf(std::span<const std::string_view> fields);

/// \returns \p fingerprint as 32 lower-case hexadecimal digits.
std::string toText(const request_fingerprint &fingerprint);
/// \returns the fingerprint in \p text, or nothing unless it has the form that toText() writes.
std::optional<request_fingerprint> parseFingerprint(std::string_view text);

} // namespace azurehill
