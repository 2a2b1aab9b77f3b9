#include "ownership/lease.h"

#include <boost/json.hpp>

#include <algorithm>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Lives of a lease after which a row that stands still is deleted.
constexpr int abandonedAfterTtls = 10;

} // namespace

std::string encode(const lease_record &lease)
{
    return json::serialize(json::object{{"daemon", lease.daemon.value},
                                        {"incarnation", lease.incarnation},
                                        {"counter", lease.counter},
                                        {"loaded_view", lease.loadedView},
                                        {"prepared_view", lease.preparedView}});
}

std::optional<lease_record> decodeLease(std::string_view text)
{
    try {
        const json::value v = json::parse(json::string_view(text.data(), text.size()));
        return lease_record{{std::string(v.at("daemon").as_string())},
                            std::string(v.at("incarnation").as_string()),
                            v.at("counter").to_number<std::uint64_t>(),
                            v.at("loaded_view").to_number<fencing_number>(),
                            v.at("prepared_view").to_number<fencing_number>(),
                            0};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

void lease_holder::onRenewed(time_point sentAt)
{
    // Answers may come in another order than their renewals went out.
    m_renewedAt = m_renewedAt ? std::max(*m_renewedAt, sentAt) : sentAt;
}

bool lease_holder::holds(time_point now) const
{
    return m_renewedAt && now < *m_renewedAt + m_settings.ttl - m_settings.margin;
}

time_point lease_holder::nextRenewalAt() const
{
    return m_renewedAt ? *m_renewedAt + m_settings.renewalInterval : time_point::min();
}

void lease_observer::onRead(const std::vector<lease_record> &leases, time_point sentAt,
                            time_point now)
{
    if (sentAt < m_lastRead)
        return;
    m_lastRead = sentAt;
    m_rows.clear();
    for (const lease_record &lease : leases) {
        m_rows[lease.daemon] = lease;
        const auto [it, isNew] = m_observedRuns.try_emplace(
            daemon_run{lease.daemon, lease.incarnation}, seen{lease.counter, now});
        // A lower counter is an old renewal that the table applied late: no sign of life.
        if (!isNew && lease.counter > it->second.counter)
            it->second = {lease.counter, now};
    }
    pruneEndedRuns();
}

void lease_observer::pruneEndedRuns()
{
    // Runs that ended long ago; those that are still members are watched again at once.
    std::erase_if(m_observedRuns, [this](const auto &entry) {
        const lease_record *lease = row(entry.first.daemon);
        const bool listed = lease && lease->incarnation == entry.first.incarnation;
        return !listed && hasBeenUnchangedFor(entry.first, m_settings.ttl * abandonedAfterTtls);
    });
}

bool lease_observer::hasBeenUnchangedFor(const daemon_run &run, duration life) const
{
    const auto it = m_observedRuns.find(run);
    return it != m_observedRuns.end()
        && m_lastRead >= it->second.changedAt + life + m_settings.margin;
}

bool lease_observer::hasExpired(const daemon_id &daemon, const std::string &incarnation) const
{
    return hasBeenUnchangedFor({daemon, incarnation}, m_settings.ttl);
}

bool lease_observer::hasMissedRenewal(const daemon_run &run) const
{
    return hasBeenUnchangedFor(run, m_settings.renewalInterval + m_settings.renewalInterval / 2);
}

void lease_observer::watch(const daemon_id &daemon, const std::string &incarnation, time_point now)
{
    m_observedRuns.try_emplace(daemon_run{daemon, incarnation}, seen{0, now});
}

const lease_record *lease_observer::row(const daemon_id &daemon) const
{
    const auto it = m_rows.find(daemon);
    return it == m_rows.end() ? nullptr : &it->second;
}

std::vector<lease_record> lease_observer::abandoned() const
{
    std::vector<lease_record> result;
    for (const auto &[daemon, lease] : m_rows) {
        if (hasBeenUnchangedFor({daemon, lease.incarnation}, m_settings.ttl * abandonedAfterTtls))
            result.push_back(lease);
    }
    return result;
}

} // namespace azurehill
