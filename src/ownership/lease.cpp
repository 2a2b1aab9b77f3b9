#include "ownership/lease.h"

#include <boost/json.hpp>

namespace azurehill {

namespace json = boost::json;

std::string encode(const lease_record &lease)
{
    return json::serialize(json::object{{"daemon", lease.daemon.value},
                                        {"incarnation", lease.incarnation},
                                        {"counter", lease.counter},
                                        {"loaded_view", lease.loadedView}});
}

std::optional<lease_record> decodeLease(std::string_view text)
{
    try {
        const json::value v = json::parse(json::string_view(text.data(), text.size()));
        return lease_record{{std::string(v.at("daemon").as_string())},
                            std::string(v.at("incarnation").as_string()),
                            v.at("counter").to_number<std::uint64_t>(),
                            v.at("loaded_view").to_number<fencing_number>()};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void lease_holder::onRenewed(time_point sentAt)
{
    m_renewedAt = sentAt;
}

bool lease_holder::holds(time_point now) const
{
    return m_renewedAt && now < *m_renewedAt + m_settings.ttl - m_settings.margin;
}

time_point lease_holder::renewAt() const
{
    return m_renewedAt ? *m_renewedAt + m_settings.renewEvery : time_point::min();
}

void lease_observer::onRead(const lease_record &lease, time_point now)
{
    seen &s = m_seen[lease.daemon];
    if (s.incarnation == lease.incarnation && s.counter == lease.counter)
        return;
    s = {lease.incarnation, lease.counter, now};
}

bool lease_observer::hasLapsed(const daemon_id &daemon, time_point now) const
{
    const auto it = m_seen.find(daemon);
    return it != m_seen.end() && now >= it->second.changedAt + m_settings.ttl + m_settings.margin;
}

void lease_observer::watch(const daemon_id &daemon, time_point now)
{
    m_seen.try_emplace(daemon, seen{{}, 0, now});
}

void lease_observer::forget(const daemon_id &daemon)
{
    m_seen.erase(daemon);
}

} // namespace azurehill
