#include "accounts/account_registry.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

constexpr std::size_t maxNameLength = 64;

/// \returns whether a header field can carry \p name unchanged.
bool isHeaderText(const std::string &name)
{
    return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

tl::expected<account_registry, std::string>
account_registry::make(std::vector<account_config> rules)
{
    account_registry book;
    for (account_config &rule : rules) {
        const account_id name = rule.name;
        if (name.empty() || name.value.size() > maxNameLength || !isHeaderText(name.value))
            return tl::unexpected(std::string("the name of an account can't be sent in a header"));
        for (const key_digest &key : rule.keys) {
            const auto [holder, isNew] = book.m_holders.try_emplace(key, name);
            if (!isNew && holder->second != name)
                return tl::unexpected(fmt::format("accounts {} and {} hold the same key",
                                                  holder->second.value, name.value));
        }
        const bool isNew = book.m_rules.emplace(name, std::move(rule)).second;
        if (!isNew)
            return tl::unexpected(fmt::format("account {} is there twice", name.value));
    }
    return book;
}

const account_config *account_registry::holder(const key_digest &digest) const
{
    const auto found = m_holders.find(digest);
    return found == m_holders.end() ? nullptr : find(found->second);
}

const account_config *account_registry::find(const account_id &name) const
{
    const auto found = m_rules.find(name);
    return found == m_rules.end() ? nullptr : &found->second;
}

} // namespace azurehill
