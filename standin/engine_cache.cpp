#include "standin/engine_cache.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace azurehill::standin {

namespace json = boost::json;

void engine_cache::store(const std::string &program, std::int64_t tokens)
{
    m_held[program] = tokens;
    publish("stored", program);
}

void engine_cache::publish(std::string kind, const std::string &program)
{
    ++m_eventCount;
    if (m_settings.gapEvery > 0 && m_eventCount % m_settings.gapEvery == 0)
        return;
    m_events.push_back(
        {m_eventCount, std::move(kind), program, runtime_clock::now() + m_settings.eventLag});
}

http_response engine_cache::answer(const http_request &request)
{
    try {
        if (request.path() == "/orders/release" && request.method == "POST")
            return release(request.body);
        if (request.path() == "/programs")
            return programs();
        if (request.path() == "/cache/events")
            return eventsAfter(
                std::strtoll(request.query("after").value_or("0").c_str(), nullptr, 10));
        return jsonResponse(404, "{}");
    } catch (const std::exception &e) {
        return jsonResponse(400, R"({"error":"malformed"})");
    }
}

http_response engine_cache::release(const std::string &body)
{
    const json::value order = json::parse(body);
    const auto fence = order.at("fence").to_number<fencing_number>();
    if (m_settings.checksFencing && fence < m_highestFence)
        return jsonResponse(409, json::serialize(json::object{{"highest_fence", m_highestFence}}));
    m_highestFence = std::max(m_highestFence, fence);
    const std::string program(order.at("program").as_string());
    if (m_held.erase(program) > 0)
        publish("removed", program);
    return jsonResponse(200, "{}");
}

http_response engine_cache::programs() const
{
    json::array list;
    for (const auto &[program, tokens] : m_held)
        list.push_back({{"program", program}, {"tokens", tokens}});
    return jsonResponse(200, json::serialize(json::object{{"programs", list}}));
}

http_response engine_cache::eventsAfter(std::int64_t number) const
{
    json::array list;
    for (const event &e : m_events) {
        if (e.number > number && e.visibleAt <= runtime_clock::now())
            list.push_back({{"number", e.number}, {"kind", e.kind}, {"program", e.program}});
    }
    return jsonResponse(200, json::serialize(json::object{{"events", list}}));
}

} // namespace azurehill::standin
