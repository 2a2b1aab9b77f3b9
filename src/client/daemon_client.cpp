#include "client/daemon_client.h"

#include "core/runtime_clock.h"
#include "http/http_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <optional>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Longer than a daemon takes to determine the outcome of a write whose response was lost.
constexpr duration requestTimeout = seconds(15);

int exitStatusFor(int httpStatus)
{
    switch (httpStatus) {
    case 400:
    case 422:
        return BadData;
    case 401:
    case 403:
        return NoPermission;
    case 404:
    case 503:
        return Unavailable;
    case 409:
        return Conflict;
    case 504:
        return UnknownOutcome;
    default:
        return Protocol;
    }
}

std::string stringMember(const json::object &o, std::string_view key)
{
    const json::value *v = o.if_contains(key);
    return v && v->is_string() ? std::string(v->get_string()) : std::string();
}

/// \returns the problem document of an error response, or its list of configuration errors, as
/// human-readable text.
std::string describeError(const http_response &response)
{
    json::error_code code;
    const json::value body = json::parse(response.body, code);
    if (code || !body.is_object())
        return fmt::format("status {}", response.status);
    const json::object &o = body.get_object();
    const json::value *faults = o.if_contains("faults");
    if (!faults || !faults->is_array()) {
        const std::string detail = stringMember(o, "detail");
        return stringMember(o, "title") + (detail.empty() ? "" : ": ") + detail;
    }
    std::string text = "the configuration has faults:";
    for (const json::value &f : faults->get_array()) {
        if (f.is_object()) {
            text += fmt::format("\n  {} {}", stringMember(f.get_object(), "path"),
                                stringMember(f.get_object(), "reason"));
        }
    }
    return text;
}

} // namespace

http_request daemon_client::request(const std::string &path) const
{
    http_request r;
    r.target = path;
    r.headers.add("Authorization", "Bearer " + m_token);
    return r;
}

daemon_client::result daemon_client::putConfig(const std::string &text,
                                               const std::string &expectedVersion,
                                               const std::string &author) const
{
    http_request r = request("/operator/config");
    r.method = "PUT";
    r.headers.add("If-Match", expectedVersion);
    r.headers.add("Azurehill-Author", author);
    r.body = text;
    return send(m_daemon, std::move(r));
}

daemon_client::result daemon_client::send(const endpoint &daemon, http_request request)
{
    asio::io_context context(1);
    std::optional<tl::expected<http_response, http_error>> answer;
    const auto exchange = [&]() -> awaitable<void> {
        answer = co_await exchangeOnce(daemon, request, runtime_clock::now() + requestTimeout);
    };
    asio::co_spawn(context, exchange, asio::detached);
    context.run();
    if (!answer || !*answer) {
        const bool mayHaveRun = answer && answer->error().ran != outcome::DidNotRun;
        const bool isChange = request.method != "GET";
        return tl::unexpected(command_error{
            mayHaveRun && isChange ? UnknownOutcome : Unavailable,
            fmt::format("{}: {}", toText(daemon), answer ? answer->error().detail : "no answer")});
    }
    const http_response &response = **answer;
    if (response.status >= 300)
        return tl::unexpected(command_error{exitStatusFor(response.status), describeError(response),
                                            response.status});
    json::error_code code;
    json::value body = json::parse(response.body, code);
    if (code)
        return tl::unexpected(command_error{Protocol, "the answer is not JSON"});
    return body;
}

} // namespace azurehill
