#include "demo/demo_program.h"

#include "core/ids.h"
#include "http/http_client.h"
#include "http/sse.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace azurehill::demo {

namespace json = boost::json;

namespace {

constexpr duration callTime = seconds(20);
constexpr int maxTries = 40;
constexpr duration pauseBetweenTries = milliseconds(250);

std::string chatBody(int number, std::int64_t turn)
{
    const json::object message{
        {"role", "user"},
        {"content", fmt::format("Program {}, turn {}: read the next page to me.", number, turn)}};
    return json::serialize(json::object{{"model", "story"},
                                        {"messages", json::array{message}},
                                        {"max_tokens", 24},
                                        {"stream", true}});
}

/// \brief Joins the pieces of a streamed answer. \returns nothing if the stream is not whole.
std::optional<std::string> contentOf(const std::string &stream)
{
    sse_reader events;
    events.feed(stream);
    std::string content;
    while (const auto data = events.next()) {
        if (*data == "[DONE]")
            return content;
        const json::value chunk = json::parse(*data);
        if (!chunk.as_object().contains("choices"))
            return std::nullopt;
        if (const auto *piece
            = chunk.at("choices").at(0).at("delta").as_object().if_contains("content"))
            content += piece->as_string();
    }
    return std::nullopt;
}

json::string_view textOr(const json::value &v, std::string_view key)
{
    const auto *found = v.is_object() ? v.as_object().if_contains(key) : nullptr;
    return found && found->is_string() ? json::string_view(found->get_string())
                                       : json::string_view();
}

/// \brief Calls of one program: looks up, sends, and asks again under the same key until there is
/// an answer.
class caller
{
public:
    caller(demo_settings settings, program_result &result)
        : m_settings(std::move(settings)), m_result(result)
    { }

    awaitable<std::string> create(std::string parent)
    {
        http_request request = makeRequest("POST", "/v1/programs");
        request.body = createBody(parent);
        for (int i = 0; i < maxTries; ++i) {
            const auto response = co_await send(request, parent);
            if (response && response->status == 201)
                co_return std::string(json::parse(response->body).at("id").as_string());
            co_await sleepFor(pauseBetweenTries);
        }
        co_return std::string();
    }

    awaitable<void> call(call_result wanted, http_request request)
    {
        request.headers.add("Azurehill-Program", wanted.program);
        request.headers.add("Azurehill-Turn", std::to_string(wanted.turn));
        request.headers.add("Idempotency-Key", wanted.key);
        for (int i = 0; i < maxTries && !wanted.answered; ++i) {
            if (i > 0) {
                ++m_result.repeats;
                co_await sleepFor(pauseBetweenTries);
            }
            const auto response = co_await send(request, wanted.program);
            takeIn(wanted, response);
        }
        m_result.calls.push_back(std::move(wanted));
    }

    awaitable<void> end(std::string program)
    {
        const http_request request = makeRequest("DELETE", "/v1/programs/" + program);
        for (int i = 0; i < maxTries; ++i) {
            const auto response = co_await send(request, program);
            if (response && response->status == 200)
                co_return;
            co_await sleepFor(pauseBetweenTries);
        }
    }

    http_request makeRequest(std::string method, std::string target) const
    {
        http_request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.headers.add("Authorization", "Bearer " + m_settings.token);
        request.headers.add("Content-Type", "application/json");
        return request;
    }

private:
    static std::string createBody(const std::string &parent)
    {
        json::object o{{"class", "lesson"}, {"budget_tokens", 200000}};
        if (!parent.empty())
            o["parent"] = parent;
        return json::serialize(o);
    }

    static void takeIn(call_result &wanted, const tl::expected<http_response, http_error> &response)
    {
        if (!response) {
            wanted.fault = response.error().detail;
            return;
        }
        if (response->status != 200) {
            wanted.fault = response->body;
            return;
        }
        if (!wanted.model) {
            wanted.answered = true;
            wanted.content = response->body;
            return;
        }
        if (auto content = contentOf(response->body)) {
            wanted.answered = true;
            wanted.content = std::move(*content);
        } else {
            wanted.fault = "the stream is not whole";
        }
    }

    /// \brief Asks each entry in turn for the addresses of \p program.
    awaitable<std::vector<endpoint>> lookUp(std::string program)
    {
        for (const endpoint &entry : m_settings.entries) {
            http_request request = makeRequest("GET", "/v1/lookup?program=" + program);
            const auto response
                = co_await exchangeOnce(entry, request, runtime_clock::now() + seconds(1));
            if (!response || response->status != 200)
                continue;
            std::vector<endpoint> found;
            const json::value body = json::parse(response->body);
            for (const json::value &a : body.at("addresses").as_array()) {
                const auto text = textOr(a, "address");
                if (const auto e = parseEndpoint(std::string_view(text.data(), text.size())))
                    found.push_back(*e);
            }
            if (!found.empty())
                co_return found;
        }
        co_return m_settings.entries;
    }

    awaitable<tl::expected<http_response, http_error>> send(http_request request,
                                                            std::string program)
    {
        const std::vector<endpoint> addresses = co_await lookUp(program);
        tl::expected<http_response, http_error> last = tl::unexpected(http_error{});
        for (const endpoint &address : addresses) {
            last = co_await exchangeOnce(address, request, runtime_clock::now() + callTime);
            if (last || last.error().ran != outcome::DidNotRun)
                break;
        }
        co_return last;
    }

    demo_settings m_settings;
    program_result &m_result;
};

call_result modelCall(const std::string &program, std::int64_t turn)
{
    return {program, turn, fmt::format("{}-{}", program, turn), true, false, "", ""};
}

call_result serviceCall(const std::string &program, std::int64_t turn)
{
    return {program, turn, fmt::format("{}-{}", program, turn), false, false, "", ""};
}

awaitable<void> runRound(caller &c, const std::string &program, int number, std::int64_t &turn)
{
    http_request model = c.makeRequest("POST", "/v1/chat/completions");
    model.body = chatBody(number, ++turn);
    co_await c.call(modelCall(program, turn), model);

    http_request tool = c.makeRequest("POST", "/v1/tools/proof/pages");
    tool.headers.add("Azurehill-Idempotent", "false");
    tool.body = "{}";
    ++turn;
    co_await c.call(serviceCall(program, turn), tool);

    http_request page = c.makeRequest("GET", "/v1/services/library/catalogue");
    page.headers.add("Azurehill-Idempotent", "true");
    ++turn;
    co_await c.call(serviceCall(program, turn), page);
}

awaitable<void> runSubAgent(caller &c, const std::string &parent, int number)
{
    const std::string child = co_await c.create(parent);
    if (child.empty())
        co_return;
    http_request model = c.makeRequest("POST", "/v1/chat/completions");
    model.body = chatBody(number, 1);
    co_await c.call(modelCall(child, 1), model);
    co_await c.end(child);
}

} // namespace

awaitable<program_result> runProgram(demo_settings settings, int number)
{
    program_result result;
    const time_point began = runtime_clock::now();
    caller c(settings, result);
    const std::string program = co_await c.create("");
    result.created = !program.empty();
    std::int64_t turn = 0;
    for (int round = 0; result.created && round < settings.rounds; ++round) {
        co_await runRound(c, program, number, turn);
        if (round == settings.rounds / 2)
            co_await runSubAgent(c, program, number);
    }
    if (result.created)
        co_await c.end(program);
    result.milliseconds = static_cast<double>(toMilliseconds(runtime_clock::now() - began));
    co_return result;
}

} // namespace azurehill::demo
