#include "daemon/call_parser.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr std::string_view modelPath = "/v1/chat/completions";
constexpr std::string_view toolPrefix = "/v1/tools/";
constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::size_t maxKeyLength = 128;
constexpr std::int64_t defaultMaxTokens = 1024;
constexpr std::int64_t tokensAroundMessage = 16;
/// Far above what any model gives; a sum with it can't overflow.
constexpr std::int64_t mostMaxTokens = 1'000'000;

tl::unexpected<problem> malformed(std::string detail)
{
    return tl::unexpected(problem{400, "malformed-request", "The request can't be read",
                                  std::move(detail), outcome::DidNotRun, std::nullopt});
}

/// \returns whether \p text is visible ASCII. HTTP lets other bytes through, and the journal, which
/// is JSON, could not be read back with them.
bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

/// \returns the bound on the tokens of \p text: no tokenizer makes more tokens than bytes.
std::int64_t mostTokens(std::string_view text)
{
    return static_cast<std::int64_t>(text.size()) + tokensAroundMessage;
}

/// \returns the members of \p body other than those that the daemon writes, ready to be followed by
/// more members.
std::string otherFields(const json::object &body)
{
    std::string fields;
    for (const auto &[key, value] : body) {
        if (key == "messages" || key == "stream" || key == "stream_options")
            continue;
        fields += json::serialize(json::value(key)) + ":" + json::serialize(value) + ",";
    }
    return fields;
}

/// \returns the service that serves \p model, or an empty name.
std::string serviceOfModel(const configuration &config, std::string_view model)
{
    for (const auto &[name, s] : config.services) {
        if (std::find(s.models.begin(), s.models.end(), model) != s.models.end())
            return name;
    }
    return {};
}

tl::expected<void, problem> readModelCall(const http_request &request, const configuration &config,
                                          parsed_call &call)
{
    json::error_code code;
    const json::value body = json::parse(request.body, code);
    if (code || !body.is_object())
        return malformed("the body is not a JSON object");
    const json::object &o = body.get_object();
    const json::value *messages = o.if_contains("messages");
    const json::value *model = o.if_contains("model");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return malformed("messages must be an array with at least one message");
    if (!model || !model->is_string())
        return malformed("model must be a string");
    std::int64_t maxTokens = defaultMaxTokens;
    if (const json::value *limit = o.if_contains("max_tokens")) {
        if (!limit->is_int64() || limit->get_int64() < 1 || limit->get_int64() > mostMaxTokens)
            return malformed("max_tokens must be a whole number from 1 to 1000000");
        maxTokens = limit->get_int64();
    }
    const json::value *choices = o.if_contains("n");
    if (choices && (!choices->is_int64() || choices->get_int64() != 1))
        return malformed("n must be 1: a program's history has one answer a turn");
    const json::value *stream = o.if_contains("stream");
    if (stream && !stream->is_bool())
        return malformed("stream must be true or false");
    call.stream = stream && stream->is_bool() && stream->get_bool();
    call.spec.service = serviceOfModel(config, model->get_string());
    if (call.spec.service.empty())
        return malformed("no service has the model " + std::string(model->get_string()));
    const std::string list = json::serialize(*messages);
    call.spec.newMessages = list.substr(1, list.size() - 2);
    call.spec.bodyFields = otherFields(o);
    if (!o.contains("max_tokens"))
        call.spec.bodyFields += fmt::format(R"("max_tokens":{},)", defaultMaxTokens);
    call.spec.request.reserveTokens = mostTokens(call.spec.newMessages) + maxTokens;
    return {};
}

tl::expected<void, problem> readServiceCall(const http_request &request,
                                            const configuration &config, parsed_call &call)
{
    const bool tool = request.target.starts_with(toolPrefix);
    const std::string_view prefix = tool ? toolPrefix : servicePrefix;
    const std::string_view rest = std::string_view(request.target).substr(prefix.size());
    call.spec.service = std::string(rest.substr(0, rest.find_first_of("/?")));
    call.spec.request.kind = tool ? call_kind::Tool : call_kind::Service;
    const auto known = config.services.find(call.spec.service);
    const auto wanted = tool ? service_kind::Tool : service_kind::Plain;
    if (known == config.services.end() || known->second.kind != wanted)
        return malformed("unknown service " + call.spec.service);
    const std::string_view idempotent = request.headers.get("Azurehill-Idempotent");
    if (idempotent != "true" && idempotent != "false")
        return malformed("Azurehill-Idempotent must be true or false");
    call.spec.request.idempotent = idempotent == "true";
    call.spec.passOn.method = request.method;
    call.spec.passOn.target = "/" + std::string(rest);
    call.spec.passOn.body = request.body;
    call.spec.passOn.headers.add("Content-Type", request.headers.get("Content-Type"));
    return {};
}

} // namespace

tl::expected<parsed_call, problem> parseCall(const http_request &request,
                                             const configuration &config)
{
    parsed_call call;
    call_request &r = call.spec.request;
    r.program.value = std::string(request.headers.get("Azurehill-Program"));
    if (!isProgramId(r.program.value))
        return malformed("Azurehill-Program must be a program's id");
    const std::string_view turn = request.headers.get("Azurehill-Turn");
    const auto [stop, error] = std::from_chars(turn.data(), turn.data() + turn.size(), r.turn);
    if (error != std::errc() || stop != turn.data() + turn.size() || r.turn < 1)
        return malformed("Azurehill-Turn must be a whole number above 0");
    r.key = std::string(request.headers.get("Idempotency-Key"));
    if (r.key.empty() || r.key.size() > maxKeyLength || !isVisible(r.key))
        return malformed("Idempotency-Key must have 1 to 128 visible ASCII characters");
    const auto read = request.path() == modelPath ? readModelCall(request, config, call)
                                                  : readServiceCall(request, config, call);
    if (!read)
        return tl::unexpected(read.error());
    return call;
}

} // namespace azurehill
