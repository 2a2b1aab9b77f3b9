#include "daemon/call_runner.h"

#include "core/log.h"
#include "daemon/sse.h"
#include "http/http_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr duration connectLimit = seconds(1);

/// \brief How a call ended upstream.
struct upstream_end
{
    std::optional<http_error> error;
    int status = 0;
    std::string contentType;
    /// The text of a model's answer, or a tool's body.
    std::string body;
    std::int64_t usedTokens = 0;
    /// Events held back until the answer is durable.
    std::vector<std::string> held;
};

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

/// \brief Takes in one event of an engine. \returns whether it is the stream's last.
bool onModelEvent(const running_call &call, const std::string &data, std::size_t &count,
                  upstream_end &end)
{
    const std::string event
        = fmt::format("id: {}-{}\ndata: {}\n\n", call.stream->attempt(), count++, data);
    if (data == "[DONE]") {
        end.held.push_back(event);
        return true;
    }
    const json::value chunk = json::parse(data);
    const json::value &choice = chunk.at("choices").at(0);
    if (const auto *content = choice.at("delta").as_object().if_contains("content"))
        end.body += content->as_string();
    if (const auto *usage = chunk.as_object().if_contains("usage"); usage && usage->is_object()) {
        end.usedTokens = usage->at("prompt_tokens").to_number<std::int64_t>()
            + usage->at("completion_tokens").to_number<std::int64_t>();
    }
    if (choice.at("finish_reason").is_null())
        call.stream->append(event);
    else
        end.held.push_back(event);
    return false;
}

awaitable<upstream_end> relayModel(const running_call &call, http_connection &connection)
{
    upstream_end end;
    sse_reader events;
    std::size_t count = 0;
    while (true) {
        auto bytes = co_await connection.readSome(runtime_clock::now() + call.limits.silenceLimit);
        if (!bytes || bytes->empty()) {
            end.error = bytes ? http_error{http_error_kind::ConnectionLost, outcome::Unknown,
                                           "the stream ended early"}
                              : bytes.error();
            co_return end;
        }
        events.feed(*bytes);
        while (auto data = events.next()) {
            if (!onModelEvent(call, *data, count, end))
                continue;
            end.status = 200;
            end.contentType = "application/json";
            co_return end;
        }
    }
}

awaitable<upstream_end> callModel(const running_call &call)
{
    http_connection connection(co_await asio::this_coro::executor);
    upstream_end end;
    const auto connected
        = co_await connection.connect(call.upstream, runtime_clock::now() + connectLimit);
    if (!connected) {
        end.error = connected.error();
        co_return end;
    }
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.add("Content-Type", "application/json");
    addCallHeaders(request, call.spec.request);
    request.body = modelBody(call);
    const auto head = co_await connection.open(std::move(request),
                                               runtime_clock::now() + call.limits.callLimit);
    if (!head) {
        end.error = head.error();
        co_return end;
    }
    if (head->status != 200) {
        end.error = http_error{http_error_kind::Malformed, outcome::DidNotRun,
                               fmt::format("the engine answered {}", head->status)};
        co_return end;
    }
    co_return co_await relayModel(call, connection);
}

awaitable<upstream_end> callService(const running_call &call)
{
    http_connection connection(co_await asio::this_coro::executor);
    upstream_end end;
    const auto connected
        = co_await connection.connect(call.upstream, runtime_clock::now() + connectLimit);
    if (!connected) {
        end.error = connected.error();
        co_return end;
    }
    http_request request = call.spec.passOn;
    addCallHeaders(request, call.spec.request);
    auto response = co_await connection.exchange(std::move(request),
                                                 runtime_clock::now() + call.limits.callLimit);
    if (!response) {
        end.error = response.error();
        co_return end;
    }
    end.status = response->status;
    end.contentType = std::string(response->headers.get("Content-Type"));
    end.body = std::move(response->body);
    co_return end;
}

std::string completionOf(const running_call &call, const upstream_end &end)
{
    const json::object message{{"role", "assistant"}, {"content", end.body}};
    const json::object choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    return json::serialize(json::object{
        {"id", fmt::format("{}-{}", call.spec.request.program.value, call.spec.request.turn)},
        {"object", "chat.completion"},
        {"choices", json::array{choice}},
        {"usage", json::object{{"total_tokens", end.usedTokens}}}});
}

journal_record endRecord(const running_call &call, const upstream_end &end)
{
    const call_request &r = call.spec.request;
    if (end.error) {
        const std::int64_t spent = end.error->ran == outcome::DidNotRun ? 0 : r.reserveTokens;
        return call_failed{r.program, r.turn, r.key, end.error->ran, spent};
    }
    if (r.kind != call_kind::Model)
        return call_finished{r.program, r.turn, r.key, 0, end.status, "", end.body};
    const json::object reply{{"role", "assistant"}, {"content", end.body}};
    const std::string messages = call.spec.newMessages + "," + json::serialize(reply);
    return call_finished{
        r.program, r.turn, r.key, end.usedTokens, 200, messages, completionOf(call, end)};
}

problem upstreamProblem(const http_error &error)
{
    const int status = error.kind == http_error_kind::TimedOut ? 504 : 502;
    problem p{status,       "upstream-failed", "The upstream gave no whole answer",
              error.detail, error.ran,         std::nullopt};
    if (error.ran == outcome::DidNotRun)
        p.retryAfter = seconds(1);
    return p;
}

problem commitProblem()
{
    return {503,
            "not-durable",
            "The answer could not be made durable",
            "ownership of the program moved",
            outcome::Unknown,
            seconds(1)};
}

} // namespace

awaitable<void> runCall(control &owner, asio::any_io_executor controlThread, running_call call)
{
    const auto stream = call.stream;
    const bool model = call.spec.request.kind == call_kind::Model;
    // g++ 12 destroys the result of a co_await inside a conditional expression twice.
    upstream_end end;
    if (model)
        end = co_await callModel(call);
    else
        end = co_await callService(call);
    const journal_record record = endRecord(call, end);
    const std::string body = model ? completionOf(call, end) : end.body;
    auto finish = [&owner, call, record] { return owner.finishCall(call, record); };
    const bool durable = co_await runOn(controlThread, finish);
    if (!durable) {
        stream->finish(commitProblem());
        co_return;
    }
    if (end.error) {
        stream->finish(upstreamProblem(*end.error));
        co_return;
    }
    for (std::string &event : end.held)
        stream->append(std::move(event));
    stream->finish(call_answer{end.status, end.contentType, body});
}

} // namespace azurehill
