#include "turns/token_account.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

namespace {

/// More than any program spends, and far below what makes sums run over.
constexpr std::int64_t mostTokens = 1'000'000'000'000'000;

/// \returns the number in \p value. \throws if it is none that an account can have.
std::int64_t parseTokens(const json::value &value)
{
    const auto tokens = value.to_number<std::int64_t>();
    if (tokens < 0 || tokens > mostTokens)
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
    o["aim"] = account.aimMs;
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
        account.aimMs = document.at("aim").to_number<std::int64_t>();
        return account;
    } catch (const std::exception &) {
        // The caller logs the row's name: nothing of the program may run on a guess.
        return std::nullopt;
    }
}

std::optional<token_account> hold(token_account account, const turn_id &id, std::int64_t most,
                                  std::int64_t budget)
{
    if (account.committed() + most > budget)
        return std::nullopt;
    account.holds[id.value] = most;
    return account;
}

bool isExhausted(const token_account &account, std::int64_t most, std::int64_t budget)
{
    return account.spent + most > budget;
}

token_account settle(token_account account, const turn_id &id, std::int64_t used)
{
    account.holds.erase(id.value);
    account.spent += used;
    return account;
}

} // namespace azurehill
