#pragma once

#include "accounts/account_config.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <unordered_map>

namespace azurehill {

/// \brief The client accounts of one version of the configuration. It never changes once made.
class account_registry
{
public:
    /// \brief A book without accounts: requests need no key.
    account_registry() = default;

    /// \returns the book of \p rules, or why they can't be in force together: an account has no
    /// name or one that no header can carry, or two accounts hold one key.
    static tl::expected<account_registry, std::string> make(std::vector<account_config> rules);

    /// \returns whether there are no accounts, so that requests need no key.
    bool empty() const { return m_rules.empty(); }
    /// \returns the account that holds the key with \p digest, or null.
    const account_config *holder(const key_digest &digest) const;
    /// \returns the account called \p name, or null.
    const account_config *find(const account_id &name) const;
    /// \returns all accounts by name.
    const std::map<account_id, account_config> &rules() const { return m_rules; }

private:
    std::map<account_id, account_config> m_rules;
    std::unordered_map<key_digest, account_id> m_holders;
};

} // namespace azurehill
