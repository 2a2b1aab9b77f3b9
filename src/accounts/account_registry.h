#pragma once

#include "accounts/account_config.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <unordered_map>

namespace azurehill {

/// \brief Immutable registry of the client accounts of one configuration version, indexed by name
/// and by API key digest.
class account_registry
{
public:
    /// \brief A registry without accounts: requests need no key.
    account_registry() = default;

    /// \returns the registry of \p accounts, or the reason why they are invalid together: an
    /// account has no name, has a name that a header can't carry or shares its name with another
    /// account, or two accounts share a key.
    static tl::expected<account_registry, std::string> make(std::vector<account_config> accounts);

    /// \returns whether there are no accounts. Requests then need no key.
    bool empty() const { return m_configs.empty(); }
    /// \returns the account that the key with \p digest belongs to, or null.
    const account_config *findByKey(const key_digest &digest) const;
    /// \returns the account with the given \p name, or null.
    const account_config *find(const account_id &name) const;
    /// \returns all accounts, in order of their names.
    const std::map<account_id, account_config> &configs() const { return m_configs; }

private:
    std::map<account_id, account_config> m_configs;
    std::unordered_map<key_digest, account_id> m_namesByKey;
};

} // namespace azurehill
