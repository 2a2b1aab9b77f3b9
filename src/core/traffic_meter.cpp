#include "core/traffic_meter.h"

#include "core/log_event.h"

namespace azurehill {

namespace {

/// Time that the lines of one report are about. Ten purposes make a line a second and daemon.
constexpr duration reportPeriod = seconds(10);

} // namespace

void traffic_meter::onCall(std::string_view purpose, std::size_t sent, std::size_t received,
                           time_point now)
{
    if (now - m_periodStart >= reportPeriod)
        report(now);
    auto found = m_traffic.find(purpose);
    if (found == m_traffic.end())
        found = m_traffic.emplace(std::string(purpose), traffic()).first;
    traffic &t = found->second;
    ++t.calls;
    t.sent += static_cast<std::int64_t>(sent);
    t.received += static_cast<std::int64_t>(received);
}

void traffic_meter::report(time_point now)
{
    for (const auto &[purpose, t] : m_traffic) {
        logDecision(log_event::TrafficCounted,
                    {{"purpose", purpose},
                     {"calls", t.calls},
                     {"sent_bytes", t.sent},
                     {"received_bytes", t.received},
                     {"period_ms", toMilliseconds(now - m_periodStart)}});
    }
    m_traffic.clear();
    m_periodStart = now;
}

} // namespace azurehill
