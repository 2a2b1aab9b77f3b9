#include "turns/turn.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

turn::~turn()
{
    // Destroys a long chain iteratively; recursive destructor calls could overflow the stack.
    turn_ptr next = std::move(previous);
    while (next && next.use_count() == 1)
        next = std::move(std::const_pointer_cast<turn>(next)->previous);
}

bool mayContinue(const turn &t, const account_id &account)
{
    return !t.account || *t.account == account;
}

std::vector<turn_ptr> chainOf(const turn_ptr &last)
{
    std::vector<turn_ptr> chain;
    for (turn_ptr t = last; t; t = t->previous)
        chain.push_back(t);
    std::reverse(chain.begin(), chain.end());
    return chain;
}

std::string buildPrompt(const turn_ptr &last, std::string_view input)
{
    const std::vector<turn_ptr> chain = chainOf(last);
    std::size_t size = input.size();
    for (const turn_ptr &t : chain)
        size += t->input.size() + t->output.size();
    std::string prompt;
    prompt.reserve(size);
    for (const turn_ptr &t : chain) {
        prompt += t->input;
        prompt += t->output;
    }
    prompt += input;
    return prompt;
}

// The value consists of a line of JSON followed by the bytes of the input and of the output, which
// may be arbitrary binary data that JSON can't represent.
std::string encodeTurn(const turn &t)
{
    json::object head;
    head["turn"] = t.id.value;
    head["program"] = t.program.value;
    head["previous"] = t.previous ? t.previous->id.value : std::string();
    head["replica"] = t.replica.id.value;
    head["replica_born"] = t.replica.startedUnixMs;
    head["tokens"] = t.tokens;
    if (t.account)
        head["account"] = t.account->value;
    if (t.chargedTokens)
        head["used"] = *t.chargedTokens;
    if (!t.route.empty())
        head["route"] = t.route;
    if (t.retention)
        head["retain_ms"] = toMilliseconds(*t.retention);
    head["input"] = t.input.size();
    head["output"] = t.output.size();
    return json::serialize(head) + '\n' + t.input + t.output;
}

duration parseRetention(std::int64_t ms)
{
    // A hundred years, which a duration can hold.
    constexpr std::int64_t maxRetentionMs = 100LL * 365 * 24 * 3600 * 1000;
    if (ms < 0 || ms > maxRetentionMs)
        throw std::out_of_range("retention time");
    return milliseconds(ms);
}

namespace {

/// \returns the retention time in \p head, if there is one. Daemons of earlier versions wrote none.
std::optional<duration> decodeRetention(const json::object &head)
{
    const json::value *ms = head.if_contains("retain_ms");
    return ms ? std::optional(parseRetention(ms->to_number<std::int64_t>())) : std::nullopt;
}

/// \returns the replica in \p head. Daemons of earlier versions wrote no start time: it is then
/// unknown and matches no process that reported one, which only costs another prefill of the
/// prompt.
replica_incarnation decodeReplica(const json::object &head)
{
    const json::value *born = head.if_contains("replica_born");
    return {{std::string(head.at("replica").as_string())},
            born ? born->to_number<std::int64_t>() : 0};
}

/// \returns the tokens that the turn of \p head is charged. Daemons of earlier versions settled the
/// account in the transaction that added the turn and did not store them here.
std::optional<std::int64_t> decodeUsed(const json::object &head)
{
    const json::value *used = head.if_contains("used");
    if (!used)
        return std::nullopt;
    const auto tokens = used->to_number<std::int64_t>();
    if (tokens < 0)
        throw std::out_of_range("number of tokens");
    return tokens;
}

/// \returns the client account in \p head, if there is one.
std::optional<account_id> decodeAccountId(const json::object &head)
{
    const json::value *name = head.if_contains("account");
    if (!name)
        return std::nullopt;
    return account_id{std::string(name->as_string())};
}

} // namespace

std::optional<decoded_turn> decodeTurn(std::string_view row)
{
    const std::size_t line = row.find('\n');
    if (line == std::string_view::npos)
        return std::nullopt;
    try {
        const json::value document = json::parse(row.substr(0, line));
        const json::object &head = document.as_object();
        const auto text
            = [&](std::string_view key) { return std::string(head.at(key).as_string()); };
        const auto inputSize = head.at("input").to_number<std::size_t>();
        const auto outputSize = head.at("output").to_number<std::size_t>();
        const std::string_view bytes = row.substr(line + 1);
        if (bytes.size() != inputSize + outputSize)
            return std::nullopt;
        decoded_turn result;
        result.value.id = {text("turn")};
        result.value.program = {text("program")};
        result.value.replica = decodeReplica(head);
        result.value.tokens = head.at("tokens").to_number<std::int64_t>();
        result.value.chargedTokens = decodeUsed(head);
        result.value.account = decodeAccountId(head);
        result.value.retention = decodeRetention(head);
        if (const json::value *route = head.if_contains("route"))
            result.value.route = route->as_string();
        result.value.input = bytes.substr(0, inputSize);
        result.value.output = bytes.substr(inputSize);
        result.previous = {text("previous")};
        return result;
    } catch (const std::exception &) {
        // The caller logs the row's name and treats the turn as unreadable.
        return std::nullopt;
    }
}

} // namespace azurehill
