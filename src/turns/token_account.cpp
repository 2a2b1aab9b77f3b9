#include "turns/token_account.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// More than any program spends, and small enough that sums don't overflow.
constexpr std::int64_t maxAccountTokens = 1'000'000'000'000'000;

/// \returns the number of tokens in \p value. \throws std::exception if it is not a valid one.
std::int64_t parseTokens(const json::value &value)
{
    const auto tokens = value.to_number<std::int64_t>();
    if (tokens < 0 || tokens > maxAccountTokens)
        throw std::out_of_range("number of tokens");
    return tokens;
}

} // namespace

std::int64_t token_account::committed() const
{
    std::int64_t sum = spent;
    for (const auto &[id, tokens] : holds)
        sum += tokens;
    return sum;
}

std::string encodeAccount(const token_account &account)
{
    json::object held;
    for (const auto &[id, tokens] : account.holds)
        held[id] = tokens;
    json::object o;
    o["spent"] = account.spent;
    o["holds"] = std::move(held);
    o["finish"] = account.finishUnixMs;
    o["aim"] = account.timeBudgetMs;
    if (account.retention)
        o["retain_ms"] = toMilliseconds(*account.retention);
    return json::serialize(o);
}

std::optional<token_account> decodeAccount(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        token_account account;
        account.spent = parseTokens(document.at("spent"));
        for (const auto &[id, tokens] : document.at("holds").as_object())
            account.holds[id] = parseTokens(tokens);
        account.finishUnixMs = document.at("finish").to_number<std::int64_t>();
        account.timeBudgetMs = document.at("aim").to_number<std::int64_t>();
        if (const json::value *ms = document.as_object().if_contains("retain_ms"))
            account.retention = parseRetention(ms->to_number<std::int64_t>());
        return account;
    } catch (const std::exception &) {
        // The caller logs the row's name and refuses the program's turns, since what the program
        // has spent is unknown.
        return std::nullopt;
    }
}

std::optional<token_account> hold(token_account account, const turn_id &id,
                                  std::int64_t maxOutputTokens, std::int64_t budget)
{
    if (account.committed() + maxOutputTokens > budget)
        return std::nullopt;
    account.holds[id.value] = maxOutputTokens;
    return account;
}

bool isExhausted(const token_account &account, std::int64_t maxOutputTokens, std::int64_t budget)
{
    return account.spent + maxOutputTokens > budget;
}

token_account retain(token_account account, duration retention)
{
    // Whole seconds, so that the turns of a program mostly state the same time.
    const duration rounded = std::chrono::ceil<seconds>(retention);
    account.retention = std::max(account.retention.value_or(duration::zero()), rounded);
    return account;
}

token_account settle(token_account account, const turn_id &id, std::int64_t used)
{
    account.holds.erase(id.value);
    account.spent += used;
    return account;
}

} // namespace azurehill
