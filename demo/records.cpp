#include "demo/records.h"

#include "http/http_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace azurehill::demo {

namespace json = boost::json;

namespace {

std::string text(const json::value &v, std::string_view key)
{
    return std::string(v.at(key).as_string());
}

awaitable<json::array> recordsOf(endpoint upstream)
{
    http_request request;
    request.target = "/records";
    const auto response
        = co_await exchangeOnce(upstream, request, runtime_clock::now() + seconds(5));
    if (!response)
        co_return json::array();
    co_return json::parse(response->body).at("records").as_array();
}

std::string turnKey(const std::string &program, const std::string &turn)
{
    return program + "/" + turn;
}

bool matchesRecord(const call_result &call, const upstream_records &records)
{
    if (!call.model)
        return records.runs.count(call.key) > 0;
    const auto [begin, end]
        = records.completions.equal_range(turnKey(call.program, std::to_string(call.turn)));
    return std::any_of(begin, end, [&](const auto &r) { return r.second == call.content; });
}

} // namespace

awaitable<upstream_records> readRecords(std::vector<endpoint> engines, std::vector<endpoint> tools)
{
    upstream_records records;
    for (const endpoint &engine : engines) {
        const json::array list = co_await recordsOf(engine);
        for (const json::value &r : list)
            records.completions.emplace(turnKey(text(r, "program"), text(r, "turn")),
                                        text(r, "content"));
    }
    for (const endpoint &tool : tools) {
        const json::array list = co_await recordsOf(tool);
        for (const json::value &r : list)
            ++records.runs[text(r, "key")];
    }
    co_return records;
}

demo_summary summarize(const std::vector<program_result> &results, const upstream_records &records)
{
    demo_summary sum;
    std::vector<double> times;
    for (const program_result &program : results) {
        sum.repeats += program.repeats;
        times.push_back(program.milliseconds);
        if (!program.created) {
            ++sum.lost;
            sum.faults.emplace_back("a program could not be created");
        }
        for (const call_result &call : program.calls) {
            ++(call.model ? sum.modelTurns : sum.serviceCalls);
            if (call.answered && matchesRecord(call, records))
                continue;
            ++sum.lost;
            sum.faults.push_back(fmt::format("{}: lost: {}", call.key, call.fault));
        }
    }
    for (const auto &[key, runs] : records.runs) {
        if (runs > 1) {
            ++sum.duplicated;
            sum.faults.push_back(fmt::format("{}: ran {} times", key, runs));
        }
    }
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        sum.medianMs = times[times.size() / 2];
        sum.longestMs = times.back();
    }
    return sum;
}

} // namespace azurehill::demo
