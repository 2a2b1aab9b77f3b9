#include "standin/engine_standin.h"

#include "core/ids.h"
#include "runtime/timer.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <memory>

namespace azurehill::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t defaultMaxTokens = 64;

struct completion_record
{
    std::string program;
    std::string turn;
    std::string content;
};

struct engine_state
{
    explicit engine_state(engine_settings s) : settings(s), cache(s.cache) { }

    engine_settings settings;
    engine_cache cache;
    std::int64_t started = 0;
    std::vector<completion_record> records;
};

std::int64_t promptTokens(const json::value &body)
{
    constexpr std::int64_t charactersPerToken = 4;
    const auto length = static_cast<std::int64_t>(json::serialize(body.at("messages")).size());
    return length / charactersPerToken + 1;
}

std::string chunk(const json::value &delta, const json::value &finish, const json::value &usage)
{
    json::object choice{{"index", 0}, {"delta", delta}, {"finish_reason", finish}};
    json::object o{{"object", "chat.completion.chunk"}, {"choices", json::array{choice}}};
    if (!usage.is_null())
        o["usage"] = usage;
    return fmt::format("data: {}\n\n", json::serialize(o));
}

std::string wordChunk(const std::string &word)
{
    return chunk(json::object{{"content", word}}, nullptr, nullptr);
}

std::string lastChunk(std::int64_t prompt, std::int64_t count)
{
    const json::object usage{{"prompt_tokens", prompt}, {"completion_tokens", count}};
    return chunk(json::object(), "stop", usage);
}

/// \returns the words of the answer; they depend on the prompt alone, so that a caller can check
/// them.
std::string wordOf(std::uint64_t seed, std::int64_t index)
{
    return fmt::format("w{:04x} ", stableHash(std::to_string(index), seed) & 0xffffU);
}

awaitable<void> complete(engine_state &engine, const http_request &request, response_writer &writer)
{
    ++engine.started;
    const json::value body = json::parse(request.body);
    const std::int64_t prompt = promptTokens(body);
    std::int64_t count = defaultMaxTokens;
    if (const auto *limit = body.as_object().if_contains("max_tokens"))
        count = std::min(count, limit->to_number<std::int64_t>());
    const std::uint64_t seed = stableHash(json::serialize(body.at("messages")));

    co_await sleepFor(engine.settings.prefillPerToken * prompt);
    header_list headers;
    headers.add("Content-Type", "text/event-stream");
    if (!co_await writer.begin(200, std::move(headers)))
        co_return;
    std::string content;
    for (std::int64_t i = 0; i < count; ++i) {
        co_await sleepFor(engine.settings.perToken);
        const std::string word = wordOf(seed, i);
        content += word;
        if (!co_await writer.writeChunk(wordChunk(word)))
            co_return;
    }
    engine.cache.store(std::string(request.headers.get("Azurehill-Program")), prompt + count);
    engine.records.push_back({std::string(request.headers.get("Azurehill-Program")),
                              std::string(request.headers.get("Azurehill-Turn")), content});
    co_await writer.writeChunk(lastChunk(prompt, count));
    co_await writer.writeChunk("data: [DONE]\n\n");
    co_await writer.end();
}

http_response listRecords(const engine_state &engine)
{
    json::array list;
    for (const completion_record &r : engine.records)
        list.push_back({{"program", r.program}, {"turn", r.turn}, {"content", r.content}});
    return jsonResponse(
        200, json::serialize(json::object{{"started", engine.started}, {"records", list}}));
}

} // namespace

request_handler makeEngine(engine_settings settings)
{
    auto engine = std::make_shared<engine_state>(settings);
    return [engine](const http_request &request, response_writer &writer) -> awaitable<void> {
        if (request.path() == "/v1/chat/completions")
            co_await complete(*engine, request, writer);
        else if (request.path() == "/records")
            co_await writer.write(listRecords(*engine));
        else
            co_await writer.write(engine->cache.answer(request));
    };
}

} // namespace azurehill::standin
