#include "standin/store_standin.h"

#include "platform/base64.h"
#include "runtime/timer.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr std::size_t pageRows = 500;
constexpr std::size_t partitionsPerResponse = 1000;
/// Longer than any client waits.
constexpr duration silence = seconds(30);

/// \returns the decoded query parameter \p name, or nothing.
std::string parameter(const http_request &request, std::string_view name)
{
    constexpr int hexBase = 16;
    const std::string encoded = request.query(name).value_or("");
    std::string decoded;
    for (std::size_t i = 0; i < encoded.size(); ++i) {
        if (encoded[i] == '%' && i + 2 < encoded.size()) {
            decoded += static_cast<char>(std::stoi(encoded.substr(i + 1, 2), nullptr, hexBase));
            i += 2;
        } else {
            decoded += encoded[i];
        }
    }
    return decoded;
}

row_name nameOf(const json::object &o)
{
    return {std::string(o.at("table").as_string()), std::string(o.at("part").as_string()),
            std::string(o.at("key").as_string())};
}

store_transaction decodeTransaction(const std::string &body)
{
    const json::value document = json::parse(body);
    const json::object &o = document.as_object();
    store_transaction t;
    for (const json::value &c : o.at("expected_rev").as_array())
        t.conditions.push_back({nameOf(c.as_object()), c.at("ver").to_number<store_version>()});
    for (const json::value &w : o.at("set_keys").as_array()) {
        const std::string value(w.at("value").as_string());
        t.writes.push_back({nameOf(w.as_object()), fromBase64(value).value()});
    }
    for (const json::value &r : o.at("remove").as_array())
        t.removals.push_back(nameOf(r.as_object()));
    return t;
}

json::object encodeRow(const stored_row &row)
{
    json::object o;
    o["table"] = row.name.table;
    o["part"] = row.name.partition;
    o["key"] = row.name.key;
    o["value"] = toBase64(row.value);
    o["ver"] = row.version;
    if (row.deleted)
        o["deleted"] = true;
    return o;
}

http_response pageResponse(int status, const std::vector<stored_row> &rows, store_version version,
                           bool hasMore)
{
    json::array list;
    for (const stored_row &row : rows)
        list.push_back(encodeRow(row));
    json::object body;
    body["rows"] = std::move(list);
    body["has_more"] = hasMore;
    body["ver"] = version;
    body["now_ms"] = unixMilliseconds();
    return jsonResponse(status, json::serialize(body));
}

} // namespace

store_standin::store_standin(const asio::any_io_executor &executor, row_store &rows)
    : m_rows(rows), m_server(executor, {}, [this](const http_request &r, response_writer &w) {
          return answer(r, w);
      })
{ }

std::uint16_t store_standin::listen()
{
    return m_server.listen({"127.0.0.1", 0});
}

void store_standin::settleLate()
{
    for (const store_transaction &t : std::exchange(m_late, {}))
        static_cast<void>(m_rows.apply(t));
}

http_response store_standin::transact(const http_request &request, store_trouble trouble)
{
    const store_transaction t = decodeTransaction(request.body);
    if (trouble == store_trouble::Late) {
        m_late.push_back(t);
        return {};
    }
    const auto done = m_rows.apply(t);
    if (done)
        return pageResponse(200, {}, *done, false);
    return pageResponse(412, done.error(), m_rows.version(), false);
}

http_response store_standin::read(const http_request &request) const
{
    const row_range range{parameter(request, "table"), parameter(request, "part"),
                          parameter(request, "from"), parameter(request, "to")};
    row_page page = m_rows.read(range);
    const bool hasMore = page.rows.size() > pageRows;
    if (hasMore)
        page.rows.resize(pageRows);
    return pageResponse(200, page.rows, page.version, hasMore);
}

http_response store_standin::changes(const http_request &request) const
{
    const auto page = m_rows.changes(parameter(request, "table"),
                                     std::stoull("0" + parameter(request, "after")));
    if (!page)
        return jsonResponse(410, "{}");
    return pageResponse(200, page->rows, page->version, false);
}

http_response store_standin::partitions(const http_request &request) const
{
    std::vector<std::string> names
        = m_rows.partitions(parameter(request, "table"), parameter(request, "after"));
    if (names.size() > partitionsPerResponse)
        names.resize(partitionsPerResponse);
    json::object body;
    body["parts"] = json::array(names.begin(), names.end());
    body["ver"] = m_rows.version();
    body["now_ms"] = unixMilliseconds();
    return jsonResponse(200, json::serialize(body));
}

awaitable<void> store_standin::holdFeed(const http_request &request) const
{
    const milliseconds wait(std::stoll("0" + parameter(request, "wait_ms")));
    const auto page = m_rows.changes(parameter(request, "table"),
                                     std::stoull("0" + parameter(request, "after")));
    if (page && page->rows.empty())
        co_await sleepFor(wait);
}

awaitable<void> store_standin::answer(const http_request &request, response_writer &writer)
{
    ++m_calls;
    const std::string path(request.path());
    const store_trouble trouble = nextTrouble(path);
    if (trouble == store_trouble::Silent) {
        co_await sleepFor(silence);
        co_return;
    }
    if (path == "/azurehill/rows-feed")
        co_await holdFeed(request);
    http_response response;
    if (trouble == store_trouble::TooMany)
        response = jsonResponse(429, "{}");
    else if (trouble == store_trouble::Unavailable)
        response = jsonResponse(503, "{}");
    else if (path == "/azurehill/rows-tx")
        response = transact(request, trouble);
    else if (path == "/azurehill/rows-get")
        response = read(request);
    else if (path == "/azurehill/rows-feed")
        response = changes(request);
    else if (path == "/azurehill/rows-parts")
        response = partitions(request);
    else
        response = jsonResponse(404, "{}");
    // A handler that writes nothing makes the server close the connection.
    if (trouble == store_trouble::AnswerLost || trouble == store_trouble::Late)
        co_return;
    co_await writer.write(std::move(response));
}

} // namespace azurehill
