#include "platform/platform_client.h"

#include "platform/json_elements.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr std::size_t maxIdleConnections = 4;

http_request postJson(std::string target, const json::value &body)
{
    http_request r;
    r.method = "POST";
    r.target = std::move(target);
    r.headers.add("Content-Type", "application/json");
    r.body = json::serialize(body);
    return r;
}

json::value toJson(const transaction &t)
{
    json::array checks;
    for (const row_check &c : t.checks)
        checks.push_back({{"key", c.key}, {"version", c.version}});
    json::array puts;
    for (const row_write &w : t.puts)
        puts.push_back({{"key", w.key}, {"value", w.value}});
    json::array deletes;
    for (const std::string &key : t.deletes)
        deletes.emplace_back(key);
    return json::object{{"checks", checks}, {"puts", puts}, {"deletes", deletes}};
}

// These are functions because g++ 12 does not compile braced JSON objects inside a coroutine.
json::value readRequestBody(const std::vector<std::string> &keys)
{
    return json::object{{"keys", json::array(keys.begin(), keys.end())}};
}

json::value scanRequestBody(const std::string &prefix, const std::string &after, int limit)
{
    return json::object{{"prefix", prefix}, {"after", after}, {"limit", limit}};
}

std::string asString(const json::value &v)
{
    return std::string(v.as_string());
}

/// \brief Applies \p convert to the JSON body. A body that is not JSON or has an unexpected
/// structure is an Unknown error.
template <class Function>
auto parseBody(const http_response &response, Function convert)
    -> tl::expected<decltype(convert(json::value())), platform_error>
{
    try {
        return convert(json::parse(response.body));
    } catch (const std::exception &e) {
        return tl::unexpected(platform_error{platform_error_kind::Unknown, e.what()});
    }
}

/// \returns the host in \p entry, or nothing if it can't be read: other writers' odd entries must
/// not hide the hosts beside them.
std::optional<listed_host> parseHost(std::string_view entry)
{
    try {
        const json::value h = json::parse(json::string_view(entry.data(), entry.size()));
        listed_host host{asString(h.at("name")),
                         asString(h.at("service")),
                         {asString(h.at("host")), h.at("port").to_number<std::uint16_t>()},
                         asString(h.at("data_centre")),
                         h.at("leaving").as_bool()};
        return host.address.port == 0 ? std::nullopt : std::optional(std::move(host));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::vector<table_row> parseRows(const json::value &body)
{
    std::vector<table_row> rows;
    for (const json::value &row : body.at("rows").as_array()) {
        rows.push_back({asString(row.at("key")), asString(row.at("value")),
                        row.at("version").to_number<row_version>()});
    }
    return rows;
}

timestamped_rows parseTimestampedRows(const json::value &body)
{
    timestamped_rows result{parseRows(body), std::nullopt};
    if (const json::value *now = body.as_object().if_contains("now_ms"))
        result.nowMs = now->to_number<std::int64_t>();
    return result;
}

platform_error toPlatformError(const http_response &response)
{
    switch (response.status) {
    case 404:
        return {platform_error_kind::NotFound, response.body};
    case 409:
    case 412:
        return {platform_error_kind::Conflict, response.body};
    case 400:
    case 429:
    case 503:
        return {platform_error_kind::Unavailable, response.body};
    default:
        return {platform_error_kind::Unknown, response.body};
    }
}

platform_error toPlatformError(const http_error &error)
{
    const bool didNotRun = error.ran == outcome::DidNotRun;
    const auto kind = didNotRun ? platform_error_kind::Unavailable : platform_error_kind::Unknown;
    return {kind, error.detail};
}

} // namespace

platform_client::platform_client(endpoint address, duration timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{ }

awaitable<platform_client::result<http_response>> platform_client::call(http_request request)
{
    const time_point deadline = runtime_clock::now() + m_timeout;
    std::unique_ptr<http_connection> connection;
    if (m_idleConnections.empty()) {
        connection = std::make_unique<http_connection>(co_await asio::this_coro::executor);
        const auto connected = co_await connection->connect(m_address, deadline);
        if (!connected)
            co_return tl::unexpected(toPlatformError(connected.error()));
    } else {
        connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
    }
    auto response = co_await connection->exchange(std::move(request), deadline);
    if (!response) {
        // The peer may no longer respond on any connection, so the idle ones are closed as well.
        m_idleConnections.clear();
        co_return tl::unexpected(toPlatformError(response.error()));
    }
    if (connection->isReusable() && m_idleConnections.size() < maxIdleConnections)
        m_idleConnections.push_back(std::move(connection));
    if (response->status >= 300)
        co_return tl::unexpected(toPlatformError(*response));
    co_return std::move(*response);
}

awaitable<platform_client::result<std::map<std::string, row_version>>>
platform_client::transact(transaction t)
{
    auto response = co_await call(postJson("/table/transact", toJson(t)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseBody(*response, [](const json::value &body) {
        std::map<std::string, row_version> versions;
        for (const auto &[key, version] : body.at("versions").as_object())
            versions.emplace(key, version.to_number<row_version>());
        return versions;
    });
}

awaitable<platform_client::result<std::vector<table_row>>>
platform_client::read(std::vector<std::string> keys)
{
    auto response = co_await call(postJson("/table/read", readRequestBody(keys)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseBody(*response, parseRows);
}

awaitable<platform_client::result<timestamped_rows>>
platform_client::readTimestamped(std::vector<std::string> keys)
{
    auto response = co_await call(postJson("/table/read", readRequestBody(keys)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseBody(*response, parseTimestampedRows);
}

awaitable<platform_client::result<std::vector<table_row>>>
platform_client::scan(std::string prefix, std::string after, int limit)
{
    auto response = co_await call(postJson("/table/scan", scanRequestBody(prefix, after, limit)));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseBody(*response, parseRows);
}

awaitable<platform_client::result<void>> platform_client::putObject(std::string key,
                                                                    std::string bytes)
{
    http_request request;
    request.method = "PUT";
    request.target = "/object/" + key;
    request.headers.add("If-None-Match", "*");
    request.body = std::move(bytes);
    auto response = co_await call(std::move(request));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return result<void>();
}

awaitable<platform_client::result<std::string>> platform_client::getObject(std::string key)
{
    http_request request;
    request.target = "/object/" + key;
    auto response = co_await call(std::move(request));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return std::move(response->body);
}

awaitable<platform_client::result<void>> platform_client::deleteObject(std::string key)
{
    http_request request;
    request.method = "DELETE";
    request.target = "/object/" + key;
    auto response = co_await call(std::move(request));
    if (!response)
        co_return tl::unexpected(response.error());
    co_return result<void>();
}

awaitable<platform_client::result<std::vector<listed_host>>> platform_client::hosts()
{
    http_request request;
    request.target = "/hosts";
    auto response = co_await call(std::move(request));
    if (!response)
        co_return tl::unexpected(response.error());
    const auto entries = arrayElements(response->body, "hosts");
    if (!entries)
        co_return tl::unexpected(
            platform_error{platform_error_kind::Unknown, "not a list of hosts"});
    std::vector<listed_host> hosts;
    for (const std::string_view entry : *entries) {
        if (auto host = parseHost(entry))
            hosts.push_back(std::move(*host));
    }
    co_return hosts;
}

} // namespace azurehill
