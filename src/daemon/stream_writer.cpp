#include "daemon/stream_writer.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace azurehill {

namespace json = boost::json;

namespace {

header_list eventStreamHeaders()
{
    header_list headers;
    headers.add("Content-Type", "text/event-stream");
    headers.add("Cache-Control", "no-store");
    return headers;
}

problem otherAttemptProblem()
{
    return {409,
            "stream-restarted",
            "The stream that you resume is gone",
            "ask again without Last-Event-ID",
            outcome::DidNotRun,
            std::nullopt};
}

/// \returns the place to go on from, or nothing when \p lastEvent is of another attempt: joining
/// the ends of two attempts would make an answer that no model gave.
std::optional<std::size_t> placeAfter(const std::string &lastEvent, const std::string &attempt)
{
    if (lastEvent.empty())
        return 0;
    const std::size_t dash = lastEvent.find('-');
    if (dash == std::string::npos || lastEvent.substr(0, dash) != attempt)
        return std::nullopt;
    std::size_t index = 0;
    const char *const begin = lastEvent.data() + dash + 1;
    const char *const end = lastEvent.data() + lastEvent.size();
    const auto [stop, error] = std::from_chars(begin, end, index);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return index + 1;
}

std::string problemEvent(const problem &p)
{
    return fmt::format("event: error\ndata: {}\n\n", toJson(p));
}

http_response toResponse(const call_answer &answer)
{
    http_response r;
    r.status = answer.status;
    r.headers.add("Content-Type", answer.contentType);
    r.body = answer.body;
    return r;
}

/// \returns a stored completion as one event, for a caller that asked for a stream.
std::string asEvents(const std::string &completion)
{
    const json::value whole = json::parse(completion);
    const json::value &choice = whole.at("choices").at(0);
    const json::object delta{
        {"index", 0},
        {"delta", json::object{{"content", choice.at("message").at("content")}}},
        {"finish_reason", "stop"}};
    const json::object chunk{{"object", "chat.completion.chunk"},
                             {"choices", json::array{delta}},
                             {"usage", whole.at("usage")}};
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(chunk));
}

problem storedProblem(outcome ran)
{
    const int status = ran == outcome::Unknown ? 502 : 500;
    return {status,
            "upstream-failed",
            "This call ended without an answer",
            "it is not sent again under the same key",
            ran,
            std::nullopt};
}

} // namespace

awaitable<void> writeStream(call_stream &call, const std::string &lastEvent,
                            response_writer &writer)
{
    const auto place = placeAfter(lastEvent, call.attempt());
    if (!place) {
        co_await writer.write(toResponse(otherAttemptProblem()));
        co_return;
    }
    std::size_t next = *place;
    bool begun = false;
    while (true) {
        const call_stream::piece piece = co_await call.readFrom(next);
        const problem *failed = piece.end ? std::get_if<problem>(&*piece.end) : nullptr;
        if (!begun && failed && piece.events.empty()) {
            co_await writer.write(toResponse(*failed));
            co_return;
        }
        if (!begun && !co_await writer.begin(200, eventStreamHeaders()))
            co_return;
        begun = true;
        std::string bytes;
        for (const std::string &event : piece.events)
            bytes += event;
        if (failed)
            bytes += problemEvent(*failed);
        if (!co_await writer.writeChunk(bytes))
            co_return;
        next += piece.events.size();
        if (piece.end)
            break;
    }
    co_await writer.end();
}

awaitable<void> writeWhole(call_stream &call, response_writer &writer)
{
    std::size_t next = 0;
    while (true) {
        const call_stream::piece piece = co_await call.readFrom(next);
        next += piece.events.size();
        if (!piece.end)
            continue;
        http_response response
            = std::visit([](const auto &end) { return toResponse(end); }, *piece.end);
        co_await writer.write(std::move(response));
        co_return;
    }
}

awaitable<void> writeStored(const closed_call &call, bool asStream, response_writer &writer)
{
    if (call.failed) {
        http_response response = toResponse(storedProblem(*call.failed));
        co_await writer.write(std::move(response));
        co_return;
    }
    if (!asStream) {
        co_await writer.write(jsonResponse(call.status, call.reply));
        co_return;
    }
    // One co_await a condition: g++ 12 runs into a trap after two that are joined by "&&".
    if (!co_await writer.begin(200, eventStreamHeaders()))
        co_return;
    if (co_await writer.writeChunk(asEvents(call.reply)))
        co_await writer.end();
}

} // namespace azurehill
