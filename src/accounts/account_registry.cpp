#include "accounts/account_registry.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

constexpr std::size_t maxNameLength = 64;

/// \returns whether \p name consists of visible ASCII only, so that a header field carries it
/// unchanged.
bool isHeaderText(const std::string &name)
{
    return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

tl::expected<account_registry, std::string>
account_registry::make(std::vector<account_config> accounts)
{
    account_registry registry;
    for (account_config &account : accounts) {
        const account_id name = account.name;
        if (name.empty() || name.value.size() > maxNameLength || !isHeaderText(name.value))
            return tl::unexpected(std::string("an account name is empty, too long or not printable "
                                              "ASCII, so a header can't carry it"));
        for (const key_digest &key : account.keys) {
            const auto [holder, isNew] = registry.m_namesByKey.try_emplace(key, name);
            if (!isNew && holder->second != name)
                return tl::unexpected(fmt::format("accounts {} and {} hold the same key",
                                                  holder->second.value, name.value));
        }
        const bool isNew = registry.m_configs.emplace(name, std::move(account)).second;
        if (!isNew)
            return tl::unexpected(fmt::format("account {} is there twice", name.value));
    }
    return registry;
}

const account_config *account_registry::findByKey(const key_digest &digest) const
{
    const auto found = m_namesByKey.find(digest);
    return found == m_namesByKey.end() ? nullptr : find(found->second);
}

const account_config *account_registry::find(const account_id &name) const
{
    const auto found = m_configs.find(name);
    return found == m_configs.end() ? nullptr : &found->second;
}

} // namespace azurehill
