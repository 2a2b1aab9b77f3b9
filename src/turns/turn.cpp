#include "turns/turn.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace azurehill {

namespace json = boost::json;

turn::~turn()
{
    // A chain of many turns would otherwise be destroyed by as many nested calls.
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

// A row holds a line of JSON, then the bytes of the input and those of the output: both may be
// anything, which JSON can't carry.
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
    if (t.used)
        head["used"] = *t.used;
    head["input"] = t.input.size();
    head["output"] = t.output.size();
    return json::serialize(head) + '\n' + t.input + t.output;
}

namespace {

/// \returns the replica that \p head names. Daemons of earlier versions wrote no birth: theirs is
/// unknown and so matches no process that told one, which only costs reading the prompt again.
replica_incarnation decodeReplica(const json::object &head)
{
    const json::value *born = head.if_contains("replica_born");
    return {{std::string(head.at("replica").as_string())},
            born ? born->to_number<std::int64_t>() : 0};
}

/// \returns the tokens that \p head charges. Daemons of earlier versions settled them with the
/// turn.
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

/// \returns the account that \p head names, if it names one.
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
        result.value.used = decodeUsed(head);
        result.value.account = decodeAccountId(head);
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
