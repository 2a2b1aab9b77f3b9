#include "daemon/upstream_call.h"

#include "http/http_client.h"
#include "http/sse.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <array>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr duration connectLimit = seconds(1);
/// By this header an upstream says of a 503 that the call has not begun, as when it is leaving.
constexpr const char *didNotRunHeader = "Azurehill-Did-Not-Run";

upstream_end failed(http_error error)
{
    upstream_end end;
    end.worthRetry = error.ran == outcome::DidNotRun;
    end.error = std::move(error);
    return end;
}

std::string modelBody(const running_call &call)
{
    const std::string comma = call.history.empty() ? "" : ",";
    return fmt::format(
        R"({{{}"messages":[{}{}{}],"stream":true,"stream_options":{{"include_usage":true}}}})",
        call.spec.bodyFields, call.history, comma, call.spec.newMessages);
}

void addCallHeaders(http_request &request, const call_request &call)
{
    request.headers.add("Azurehill-Program", call.program.value);
    request.headers.add("Azurehill-Turn", std::to_string(call.turn));
    request.headers.add("Idempotency-Key", call.key);
}

http_request modelRequest(const running_call &call)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.add("Content-Type", "application/json");
    addCallHeaders(request, call.spec.request);
    request.body = modelBody(call);
    return request;
}

tl::unexpected<http_error> brokenEvent(std::string detail)
{
    return tl::unexpected(
        http_error{http_error_kind::Malformed, outcome::Unknown, std::move(detail)});
}

std::int64_t countIn(const json::value &usage, std::string_view name)
{
    const auto *count = usage.get_object().if_contains(name);
    return count && count->is_int64() ? std::max<std::int64_t>(count->get_int64(), 0) : 0;
}

/// \brief Takes in the first choice of a chunk. \returns whether it says that the answer ends.
bool takeChoice(const json::object &choice, upstream_end &end)
{
    const auto *delta = choice.if_contains("delta");
    if (delta && delta->is_object())
        end.message.add(delta->get_object());
    const auto *reason = choice.if_contains("finish_reason");
    if (!reason || !reason->is_string())
        return false;
    end.finishReason = std::string(reason->get_string());
    return true;
}

/// \brief Takes in all events that \p events holds, and adds their number to \p count. \returns
/// whether the stream has ended.
tl::expected<bool, http_error> takeEvents(call_stream &stream, sse_reader &events,
                                          upstream_end &end, std::size_t &count)
{
    while (const auto data = events.next()) {
        auto last = onModelEvent(stream, *data, end);
        if (!last || *last)
            return last;
        ++count;
    }
    if (events.isTooLong())
        return brokenEvent("an event is too long");
    return false;
}

awaitable<upstream_end> relayModel(const running_call &call, http_connection &connection)
{
    upstream_end end;
    sse_reader events;
    time_point before;
    while (true) {
        const auto bytes
            = co_await connection.readSome(runtime_clock::now() + call.limits.streamIdleTimeout);
        if (!bytes) {
            end.error = bytes.error();
            co_return end;
        }
        if (bytes->empty()) {
            end.error = http_error{http_error_kind::ConnectionLost, outcome::Unknown,
                                   "the stream ended early"};
            co_return end;
        }
        events.feed(*bytes);
        std::size_t count = 0;
        const auto last = takeEvents(*call.stream, events, end, count);
        call.stream->publish();
        const time_point now = runtime_clock::now();
        if (end.firstToken)
            end.gaps.add(now - before, count);
        else if (count > 0)
            end.firstToken = now;
        if (count > 0)
            before = now;
        if (!last) {
            end.error = last.error();
            co_return end;
        }
        if (*last) {
            end.status = 200;
            end.contentType = "application/json";
            co_return end;
        }
    }
}

/// \returns what an engine's refusal means: it has sent no token, so the call did not run.
upstream_end engineRefused(int status)
{
    upstream_end end = failed({http_error_kind::Malformed, outcome::DidNotRun,
                               fmt::format("the engine answered {}", status)});
    end.status = status;
    // Any other 4xx is about the request itself: another replica would say the same.
    end.worthRetry = status >= 500 || status == 429;
    return end;
}

} // namespace

std::optional<send_loss> lossOf(const http_error &error)
{
    if (error.ran == outcome::DidNotRun)
        return std::nullopt;
    switch (error.kind) {
    case http_error_kind::ConnectionLost:
    case http_error_kind::Incomplete:
        return send_loss::ConnectionEnded;
    case http_error_kind::TimedOut:
        return send_loss::GivenUp;
    case http_error_kind::Malformed:
        return send_loss::Malformed;
    case http_error_kind::ConnectFailed:
        break;
    }
    return std::nullopt;
}

tl::expected<bool, http_error> onModelEvent(call_stream &stream, const std::string &data,
                                            upstream_end &end)
{
    if (data == "[DONE]") {
        end.held.push_back(data);
        return true;
    }
    std::array<unsigned char, 4096> room; // NOLINT: filled by the parser
    json::monotonic_resource memory(room.data(), room.size());
    json::error_code code;
    const json::value chunk = json::parse(data, code, &memory);
    if (code || !chunk.is_object())
        return brokenEvent("an event is not a JSON object");
    const json::object &o = chunk.get_object();
    if (const auto *usage = o.if_contains("usage"); usage && usage->is_object()) {
        end.promptTokens = countIn(*usage, "prompt_tokens");
        end.completionTokens = countIn(*usage, "completion_tokens");
        const auto *details = usage->get_object().if_contains("prompt_tokens_details");
        if (details && details->is_object())
            end.cachedTokens = countIn(*details, "cached_tokens");
    }
    const auto *choices = o.if_contains("choices");
    if (!choices || !choices->is_array())
        return brokenEvent("an event has no choices");
    const json::array &list = choices->get_array();
    // An engine may send the usage in an event of its own without a choice.
    const bool hasChoice = !list.empty() && list.front().is_object();
    const bool last = hasChoice && takeChoice(list.front().get_object(), end);
    if (last || !end.held.empty()) {
        end.held.push_back(data);
        return false;
    }
    if (!stream.append(data))
        return brokenEvent("the answer is too long");
    return false;
}

awaitable<upstream_end> callModel(const running_call &call)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected
        = co_await connection.connect(call.upstream, runtime_clock::now() + connectLimit);
    if (!connected)
        co_return failed(connected.error());
    http_request request = modelRequest(call);
    const auto head = co_await connection.sendAndReadHead(
        std::move(request), runtime_clock::now() + call.limits.callTimeout);
    if (!head)
        co_return failed(head.error());
    if (head->status != 200)
        co_return engineRefused(head->status);
    co_return co_await relayModel(call, connection);
}

awaitable<upstream_end> callService(const running_call &call)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected
        = co_await connection.connect(call.upstream, runtime_clock::now() + connectLimit);
    if (!connected)
        co_return failed(connected.error());
    http_request request = call.spec.passOn;
    addCallHeaders(request, call.spec.request);
    auto response = co_await connection.exchange(std::move(request),
                                                 runtime_clock::now() + call.limits.callTimeout);
    if (!response)
        co_return failed(response.error());
    if (response->status == 503 && response->headers.get(didNotRunHeader) == "true") {
        co_return failed({http_error_kind::Malformed, outcome::DidNotRun,
                          "the upstream answered that it did not run"});
    }
    upstream_end end;
    end.status = response->status;
    end.contentType = std::string(response->headers.get("Content-Type"));
    end.body = std::move(response->body);
    co_return end;
}

} // namespace azurehill
