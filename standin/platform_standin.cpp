#include "standin/platform_standin.h"

#include "platform/table.h"

#include <boost/json.hpp>

#include <map>
#include <memory>

namespace azurehill::standin {

namespace json = boost::json;

namespace {

struct stored_row
{
    std::string value;
    row_version version = 0;
};

struct stored_host
{
    json::object entry;
    time_point visibleAt;
};

/// \brief What the platform keeps. One thread uses it.
class platform_store
{
public:
    explicit platform_store(duration hostLag) : m_hostLag(hostLag) { }

    http_response answer(const http_request &request)
    {
        const std::string_view path = request.path();
        if (path == "/table/transact")
            return transact(json::parse(request.body));
        if (path == "/table/read")
            return read(json::parse(request.body));
        if (path == "/table/scan")
            return scan(json::parse(request.body));
        if (path.starts_with("/object/"))
            return object(request, std::string(path.substr(8)));
        if (path == "/hosts")
            return request.method == "POST" ? setHost(json::parse(request.body)) : hosts();
        if (path == "/counts")
            return jsonResponse(
                200, json::serialize(json::object{{"reads", m_reads}, {"writes", m_writes}}));
        return jsonResponse(404, "{}");
    }

private:
    static std::string text(const json::value &v) { return std::string(v.as_string()); }

    row_version versionOf(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? 0 : it->second.version;
    }

    http_response transact(const json::value &body)
    {
        ++m_writes;
        for (const json::value &check : body.at("checks").as_array()) {
            const std::string key = text(check.at("key"));
            if (versionOf(key) != check.at("version").to_number<row_version>())
                return jsonResponse(409, json::serialize(json::object{{"failed", key}}));
        }
        json::object versions;
        for (const json::value &put : body.at("puts").as_array()) {
            const std::string key = text(put.at("key"));
            m_rows[key] = {text(put.at("value")), ++m_lastVersion};
            versions[key] = m_lastVersion;
        }
        for (const json::value &key : body.at("deletes").as_array())
            m_rows.erase(text(key));
        return jsonResponse(200, json::serialize(json::object{{"versions", versions}}));
    }

    static json::object rowJson(const std::string &key, const stored_row &row)
    {
        return {{"key", key}, {"value", row.value}, {"version", row.version}};
    }

    http_response read(const json::value &body)
    {
        ++m_reads;
        json::array rows;
        for (const json::value &key : body.at("keys").as_array()) {
            if (const auto it = m_rows.find(text(key)); it != m_rows.end())
                rows.emplace_back(rowJson(it->first, it->second));
        }
        return jsonResponse(200,
                            json::serialize(json::object{{"rows", rows}, {"now_ms", nowMs()}}));
    }

    /// \brief The platform's time line: it moves with the project's clock, paused or not.
    std::int64_t nowMs() const
    {
        return m_startUnixMs + toMilliseconds(runtime_clock::now() - m_start);
    }

    http_response scan(const json::value &body)
    {
        ++m_reads;
        const std::string prefix = text(body.at("prefix"));
        const std::string after = text(body.at("after"));
        const auto limit = body.at("limit").to_number<std::size_t>();
        json::array rows;
        auto it = after.empty() ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; it != m_rows.end() && it->first.starts_with(prefix) && rows.size() < limit; ++it)
            rows.emplace_back(rowJson(it->first, it->second));
        return jsonResponse(200, json::serialize(json::object{{"rows", rows}}));
    }

    http_response object(const http_request &request, const std::string &key)
    {
        if (request.method == "PUT") {
            ++m_writes;
            const bool mustBeNew = request.headers.get("If-None-Match") == "*";
            const auto it = m_objects.find(key);
            if (mustBeNew && it != m_objects.end() && it->second != request.body)
                return jsonResponse(412, "{}");
            m_objects[key] = request.body;
            return jsonResponse(200, "{}");
        }
        if (request.method == "DELETE") {
            ++m_writes;
            m_objects.erase(key);
            return jsonResponse(200, "{}");
        }
        ++m_reads;
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? jsonResponse(404, "{}") : jsonResponse(200, it->second);
    }

    http_response setHost(const json::value &body)
    {
        const std::string name = text(body.at("name"));
        if (body.as_object().contains("gone")) {
            m_hosts.erase(name);
            return jsonResponse(200, "{}");
        }
        m_hosts[name].push_back({body.as_object(), runtime_clock::now() + m_hostLag});
        return jsonResponse(200, "{}");
    }

    http_response hosts()
    {
        ++m_reads;
        json::array list;
        for (const auto &[name, history] : m_hosts) {
            const json::object *shown = nullptr;
            for (const stored_host &h : history) {
                if (h.visibleAt <= runtime_clock::now())
                    shown = &h.entry;
            }
            if (shown)
                list.emplace_back(*shown);
        }
        return jsonResponse(200, json::serialize(json::object{{"hosts", list}}));
    }

    duration m_hostLag;
    time_point m_start = runtime_clock::now();
    std::int64_t m_startUnixMs = unixMilliseconds();
    std::map<std::string, stored_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, std::vector<stored_host>> m_hosts;
    row_version m_lastVersion = 0;
    std::int64_t m_reads = 0;
    std::int64_t m_writes = 0;
};

} // namespace

request_handler makePlatform(duration hostLag)
{
    auto store = std::make_shared<platform_store>(hostLag);
    return [store](const http_request &request, response_writer &writer) -> awaitable<void> {
        http_response response;
        try {
            response = store->answer(request);
        } catch (const std::exception &e) {
            response = jsonResponse(400, "{}");
        }
        co_await writer.write(std::move(response));
    };
}

} // namespace azurehill::standin
