#pragma once

#include "accounts/account_registry.h"

#include <variant>

namespace azurehill {

/// \brief The request carries no API key.
struct no_credential
{ };

/// \brief The request carries a malformed API key, or more than one.
struct invalid_credential
{ };

/// \brief The credential that a request presents: none, an unusable one, or the digest of its key.
using credential = std::variant<no_credential, invalid_credential, key_digest>;

/// \brief Result of the authentication of a request.
enum class access_verdict {
    /// The request is accepted, on behalf of its account or of none.
    Allowed,
    /// The route requires a key, and the request has no well-formed one; or its key is malformed.
    NoKey,
    /// The key belongs to no account.
    UnknownKey,
};

template <>
struct enum_names<access_verdict>
{
    static constexpr std::array<std::string_view, 3> names = {"allowed", "no_key", "unknown_key"};
};

/// \brief An access verdict with the account that was authenticated.
struct access
{
    access_verdict verdict = access_verdict::Allowed;
    /// The account that the request's key belongs to, or null.
    const account_config *account = nullptr;
};

/// \brief Authenticates a request. This comes before its body is read, resources are reserved or
/// anything is sent upstream for it.
/// \param accounts accounts of the active configuration.
/// \param isPublic whether the request's route requires no key.
/// \param said what the request carries.
access checkAccess(const account_registry &accounts, bool isPublic, const credential &presented);

} // namespace azurehill
