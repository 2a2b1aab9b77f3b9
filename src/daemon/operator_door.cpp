#include "daemon/operator_door.h"

#include "daemon/auth.h"
#include "daemon/problems.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

http_response membersResponse(const cell_view &view)
{
    json::array list;
    for (const member &m : view.members) {
        list.push_back({{"daemon", m.daemon.value},
                        {"address", m.address},
                        {"data_centre", m.dataCentre.value},
                        {"draining", m.draining}});
    }
    return jsonResponse(200,
                        json::serialize(json::object{{"view", view.number}, {"members", list}}));
}

http_response storedResponse(row_version version)
{
    return jsonResponse(200, json::serialize(json::object{{"version", version}}));
}

http_response faultsResponse(const std::vector<config_fault> &faults)
{
    json::array list;
    for (const config_fault &f : faults)
        list.push_back({{"path", f.path}, {"reason", f.reason}});
    return jsonResponse(422, json::serialize(json::object{{"faults", list}}));
}

row_version expectedVersion(const http_request &request)
{
    return std::strtoull(std::string(request.headers.get("If-Match")).c_str(), nullptr, 10);
}

} // namespace

awaitable<void> operator_door::serve(const http_request &request, response_writer &writer)
{
    if (!equalInConstantTime(sha256Hex(bearerToken(request)), m_settings.operatorTokenSha256)) {
        co_await writer.write(toResponse(unauthorizedProblem()));
        co_return;
    }
    const std::string path(request.path());
    if (path == "/operator/members") {
        auto readView = [this] { return m_control.view(); };
        const auto view = co_await onControl(readView);
        co_await writer.write(membersResponse(view));
        co_return;
    }
    if (path == "/operator/config" && request.method == "PUT") {
        const auto parsed = parseConfiguration(request.body);
        if (!parsed) {
            co_await writer.write(faultsResponse(parsed.error()));
            co_return;
        }
        const row_version expected = expectedVersion(request);
        auto store = [this, expected, text = request.body] {
            return m_control.storeConfig(text, expected);
        };
        const auto stored = co_await onControl(store);
        http_response response = stored
            ? storedResponse(*stored)
            : toResponse(conflictProblem(std::string(toName(stored.error().kind))));
        co_await writer.write(std::move(response));
        co_return;
    }
    if (path == "/operator/config") {
        auto readConfig = [this] { return m_control.config(); };
        const auto config = co_await onControl(readConfig);
        http_response response = config ? jsonResponse(200, toText(*config))
                                        : toResponse(notFoundProblem("no configuration yet"));
        co_await writer.write(std::move(response));
        co_return;
    }
    co_await writer.write(toResponse(notFoundProblem(path)));
}

} // namespace azurehill
