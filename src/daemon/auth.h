#pragma once

#include "config/configuration.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \returns the SHA-256 of \p text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// \returns whether both texts are the same, in a time that does not depend on where they differ.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// \returns the bearer token of \p request, or an empty view.
std::string_view bearerToken(const http_request &request);

/// \returns the tenant whose token \p request carries, or nothing. Every tenant is compared, so the
/// time tells nothing about which one matched.
std::optional<tenant_id> authenticate(const configuration &config, const http_request &request);

} // namespace azurehill
