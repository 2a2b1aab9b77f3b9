#include "standin/tool_standin.h"

#include "runtime/timer.h"

#include <boost/json.hpp>

#include <memory>

namespace azurehill::standin {

namespace json = boost::json;

namespace {

struct tool_record
{
    std::string target;
    std::string key;
    std::string program;
};

struct tool_state
{
    std::int64_t started = 0;
    std::vector<tool_record> records;
};

http_response listRecords(const tool_state &tool)
{
    json::array list;
    for (const tool_record &r : tool.records)
        list.push_back({{"target", r.target}, {"key", r.key}, {"program", r.program}});
    return jsonResponse(
        200, json::serialize(json::object{{"started", tool.started}, {"records", list}}));
}

http_response receipt(std::size_t number, const std::string &target)
{
    const json::object answer{{"receipt", number}, {"target", target}};
    return jsonResponse(200, json::serialize(answer));
}

} // namespace

request_handler makeTool(duration callTime)
{
    auto tool = std::make_shared<tool_state>();
    return
        [tool, callTime](const http_request &request, response_writer &writer) -> awaitable<void> {
            if (request.path() == "/records") {
                co_await writer.write(listRecords(*tool));
                co_return;
            }
            ++tool->started;
            co_await sleepFor(callTime);
            tool->records.push_back({request.target,
                                     std::string(request.headers.get("Idempotency-Key")),
                                     std::string(request.headers.get("Azurehill-Program"))});
            co_await writer.write(receipt(tool->records.size(), request.target));
        };
}

} // namespace azurehill::standin
