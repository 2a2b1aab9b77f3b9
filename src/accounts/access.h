#pragma once

#include "accounts/account_registry.h"

#include <variant>

namespace azurehill {

/// \brief The request carries no key.
struct no_credential
{ };

/// \brief The request's key can't be read, or it carries several.
struct invalid_credential
{ };

/// \brief How a request says which account it belongs to.
using credential = std::variant<no_credential, invalid_credential, key_digest>;

/// \brief What the configuration lets a request do.
enum class access_verdict {
    /// It goes on as its account's, or as nobody's.
    Allowed,
    /// Its route asks for a key, and it has none that can be read.
    NoKey,
    /// No account holds its key.
    UnknownKey,
};

template <>
struct enum_names<access_verdict>
{
    static constexpr std::array<std::string_view, 3> names = {"allowed", "no_key", "unknown_key"};
};

/// \brief A verdict with the account that it is about.
struct access
{
    access_verdict verdict = access_verdict::Allowed;
    /// The account that holds the request's key, or null.
    const account_config *account = nullptr;
};

/// \brief Judges a request before anything is read, held or sent for it.
/// \param accounts those of the configuration in force.
/// \param isPublic whether the request's route asks for no key.
/// \param said what the request carries.
access checkAccess(const account_registry &accounts, bool isPublic, const credential &said);

} // namespace azurehill
