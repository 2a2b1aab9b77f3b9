#include "daemon/stream_writer.h"

#include "daemon/assistant_message.h"

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
    const json::object delta{{"index", 0},
                             {"delta", wholeDelta(choice.at("message").as_object())},
                             {"finish_reason", choice.at("finish_reason")}};
    const json::object chunk{{"object", "chat.completion.chunk"},
                             {"choices", json::array{delta}},
                             {"usage", whole.at("usage")}};
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(chunk));
}

/// \brief Wakes the session when its caller goes away, which would otherwise keep its connection
/// and its memory until the call ends.
gone_flag watchForDisconnect(const std::shared_ptr<call_stream> &call, response_writer &writer)
{
    auto gone = std::make_shared<std::atomic<bool>>(false);
    writer.onPeerDisconnect([call, gone] {
        *gone = true;
        call->publish();
    });
    return gone;
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

awaitable<void> writeStream(std::shared_ptr<call_stream> call, std::string lastEvent,
                            response_writer &writer)
{
    const auto place = placeAfter(lastEvent, call->attempt());
    if (!place) {
        http_response reply = toResponse(otherAttemptProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    const gone_flag gone = watchForDisconnect(call, writer);
    std::size_t next = *place;
    bool begun = false;
    while (true) {
        call_stream::piece piece = co_await call->readFrom(next, gone);
        if (piece.abandoned)
            co_return;
        const problem *failed = piece.end ? std::get_if<problem>(piece.end.get()) : nullptr;
        if (!begun && failed && piece.bytes.empty()) {
            http_response reply = toResponse(*failed);
            co_await writer.write(std::move(reply));
            co_return;
        }
        if (!begun && !co_await writer.begin(200, eventStreamHeaders()))
            co_return;
        begun = true;
        std::string bytes = std::move(piece.bytes);
        if (failed)
            bytes += problemEvent(*failed);
        if (!co_await writer.writeChunk(bytes))
            co_return;
        next = piece.next;
        if (piece.end)
            break;
    }
    co_await writer.end();
}

awaitable<void> writeWhole(std::shared_ptr<call_stream> call, response_writer &writer)
{
    const gone_flag gone = watchForDisconnect(call, writer);
    const auto end = co_await call->waitForEnd(gone);
    if (!end)
        co_return;
    http_response response = std::visit([](const auto &e) { return toResponse(e); }, *end);
    co_await writer.write(std::move(response));
}

awaitable<void> writeStored(const closed_call &call, bool asStream, std::string lastEvent,
                            response_writer &writer)
{
    if (call.failed) {
        http_response response = toResponse(storedProblem(*call.failed));
        co_await writer.write(std::move(response));
        co_return;
    }
    if (!asStream) {
        const call_answer answer{call.status, call.contentType, call.reply};
        http_response reply = toResponse(answer);
        co_await writer.write(std::move(reply));
        co_return;
    }
    // The stored answer has no event ids: joined to what the caller already has, its beginning
    // would be there twice.
    if (!lastEvent.empty()) {
        http_response reply = toResponse(otherAttemptProblem());
        co_await writer.write(std::move(reply));
        co_return;
    }
    // One co_await a condition: g++ 12 runs into a trap after two that are joined by "&&".
    const std::string events = asEvents(call.reply);
    if (!co_await writer.begin(200, eventStreamHeaders()))
        co_return;
    if (co_await writer.writeChunk(events))
        co_await writer.end();
}

} // namespace azurehill
