#include "process/caller.h"

#include "http/sse.h"

#include <fmt/format.h>

namespace azurehill::process_test {

namespace json = boost::json;

namespace {

using piece_handler = std::function<void(const std::string &)>;

awaitable<void> exchange(endpoint peer, http_request request, time_point deadline,
                         const piece_handler &onPiece, reply &into)
{
    http_connection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(std::move(peer), deadline);
    if (!connected) {
        into.error = connected.error();
        co_return;
    }
    const auto head = co_await connection.sendAndReadHead(std::move(request), deadline);
    if (!head) {
        into.error = head.error();
        co_return;
    }
    into.status = head->status;
    into.headers = head->headers;
    while (true) {
        const auto piece = co_await connection.readSome(deadline);
        if (!piece) {
            into.error = piece.error();
            co_return;
        }
        if (piece->empty())
            co_return;
        into.body += *piece;
        if (onPiece)
            onPiece(into.body);
    }
}

http_request authorized(std::string method, std::string target, std::string_view token)
{
    http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers.add("Authorization", fmt::format("Bearer {}", token));
    request.headers.add("Content-Type", "application/json");
    return request;
}

void addCallHeaders(call_line &call)
{
    call.request.headers.add("Azurehill-Program", call.program.value);
    call.request.headers.add("Azurehill-Turn", std::to_string(call.turn));
    call.request.headers.add("Idempotency-Key", keyOf(call));
}

} // namespace

std::optional<std::string> reply::content() const
{
    if (status != 200 || error)
        return std::nullopt;
    sse_reader events;
    events.feed(body);
    std::string text;
    while (const auto data = events.next()) {
        if (*data == "[DONE]")
            return text;
        const json::value chunk = json::parse(*data);
        if (!chunk.as_object().contains("choices"))
            return std::nullopt;
        const auto &delta = chunk.at("choices").at(0).at("delta").as_object();
        if (const auto *piece = delta.if_contains("content"))
            text += piece->as_string();
    }
    return std::nullopt;
}

std::string reply::outcomeText() const
{
    boost::system::error_code code;
    std::string document = body;
    if (const auto at = body.find("event: error\ndata: "); at != std::string::npos) {
        document = body.substr(at + std::string_view("event: error\ndata: ").size());
        document.resize(document.find('\n'));
    }
    const json::value v = json::parse(document, code);
    if (code || !v.is_object())
        return "";
    const auto *found = v.as_object().if_contains("outcome");
    return found && found->is_string() ? std::string(found->as_string()) : "";
}

reply ask(const endpoint &peer, http_request request, duration limit, const piece_handler &onPiece)
{
    reply result;
    asio::io_context context(1);
    asio::co_spawn(
        context, exchange(peer, std::move(request), runtime_clock::now() + limit, onPiece, result),
        asio::detached);
    context.run();
    return result;
}

json::value getJson(const endpoint &peer, const std::string &path)
{
    http_request request = operatorRequest("GET", path);
    const reply r = ask(peer, std::move(request), seconds(2));
    boost::system::error_code code;
    json::value v = json::parse(r.body, code);
    return r.status == 200 && !code ? v : json::value();
}

bool postJson(const endpoint &peer, const std::string &path, const std::string &body)
{
    http_request request = operatorRequest("POST", path);
    request.body = body;
    return ask(peer, std::move(request), seconds(5)).status == 200;
}

call_line modelCall(const program_id &program, std::int64_t turn, int maxTokens)
{
    call_line call{program, turn, tenantRequest("POST", "/v1/chat/completions")};
    const json::object message{
        {"role", "user"}, {"content", fmt::format("{}, turn {}: read on.", program.value, turn)}};
    call.request.body = json::serialize(json::object{{"model", "story"},
                                                     {"messages", json::array{message}},
                                                     {"max_tokens", maxTokens},
                                                     {"stream", true}});
    addCallHeaders(call);
    return call;
}

call_line toolCall(const program_id &program, std::int64_t turn, bool idempotent)
{
    call_line call{program, turn, tenantRequest("POST", "/v1/tools/proof/pages")};
    call.request.headers.add("Azurehill-Idempotent", idempotent ? "true" : "false");
    call.request.body = "{}";
    addCallHeaders(call);
    return call;
}

http_request createRequest(const program_id &parent)
{
    http_request request = tenantRequest("POST", "/v1/programs");
    json::object o{{"class", "lesson"}, {"budget_tokens", 100000}};
    if (!parent.empty())
        o["parent"] = parent.value;
    request.body = json::serialize(o);
    return request;
}

http_request tenantRequest(std::string method, std::string target)
{
    return authorized(std::move(method), std::move(target), tenantToken);
}

http_request operatorRequest(std::string method, std::string target)
{
    return authorized(std::move(method), std::move(target), operatorToken);
}

std::string keyOf(const call_line &call)
{
    return fmt::format("{}-{}", call.program.value, call.turn);
}

} // namespace azurehill::process_test
