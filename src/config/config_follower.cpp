#include "config/config_follower.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr std::size_t maxPendingVersions = 16;
/// What two hosts' clocks may drift apart within a validity, with room to spare.
constexpr duration clockDriftMargin = milliseconds(10);

} // namespace

void config_follower::onStoreRead(time_point sentAt, time_point receivedAt,
                                  std::optional<config_document> document,
                                  std::optional<std::int64_t> platformMs)
{
    if (platformMs)
        m_time.addSample(sentAt, receivedAt, *platformMs);
    // A read that shows an older head than the one known is late: it tells nothing of now.
    if (!document || !adopt(*document, receivedAt))
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(sentAt), sentAt);
}

void config_follower::onPeerResponse(time_point sentAt, time_point receivedAt,
                                     peer_config_response answer)
{
    if (answer.nowMs)
        m_time.addSample(sentAt, receivedAt, *answer.nowMs, answer.error);
    if (!adopt(answer.document, receivedAt) || !answer.confirmedAge)
        return;
    // The peer told its age after this request was sent, so its read is no older than this.
    const time_point readAt = sentAt - *answer.confirmedAge;
    m_confirmedAt = std::max(m_confirmedAt.value_or(readAt), readAt);
}

bool config_follower::adopt(const config_document &document, time_point receivedAt)
{
    const config_number known = m_entries.empty() ? 0 : m_entries.back().version.number;
    if (document.head.number < known)
        return false;
    if (document.head.number == known)
        return true;
    std::vector<config_version> versions = document.before;
    versions.push_back(document.head);
    for (const config_version &v : versions) {
        if (v.number <= known)
            continue;
        if (!m_entries.empty())
            m_entries.back().effectiveBeforeMs = v.acceptedMs;
        m_entries.push_back({v, receivedAt, std::nullopt});
    }
    const auto bounds = m_time.at(receivedAt);
    const auto canDropOldest = [&] {
        return m_entries.size() > maxPendingVersions
            || (bounds && m_entries.size() > 1
                && m_entries[1].version.activateMs <= bounds->earliestMs);
    };
    while (canDropOldest())
        m_entries.pop_front();
    return true;
}

std::vector<config_action> config_follower::poll(time_point now)
{
    std::vector<config_action> actions;
    if (!m_storePolledAt || now >= *m_storePolledAt + m_settings.storePollInterval) {
        m_storePolledAt = now;
        actions.push_back(config_action::ReadStore);
    }
    const bool late = !m_confirmedAt || now >= *m_confirmedAt + m_settings.validity;
    if (late && (!m_peersQueriedAt || now >= *m_peersQueriedAt + m_settings.storePollInterval)) {
        m_peersQueriedAt = now;
        actions.push_back(config_action::QueryPeers);
    }
    return actions;
}

time_point config_follower::wakeAt(time_point now) const
{
    return m_storePolledAt ? std::max(now, *m_storePolledAt + m_settings.storePollInterval) : now;
}

bool config_follower::isConfirmed(time_point now) const
{
    return m_confirmedAt && now < *m_confirmedAt + m_settings.validity;
}

bool config_follower::isSettled(const entry &e, time_point now, const time_bounds &bounds) const
{
    // Nobody decides by anything older than the first version of all.
    if (e.version.number == 1 || now >= e.firstSeenAt + m_settings.validity + clockDriftMargin)
        return true;
    if (bounds.earliestMs >= e.version.acceptedMs
            + toMilliseconds(m_settings.lateWriteTimeout + m_settings.validity + clockDriftMargin))
        return true;
    return e.effectiveBeforeMs
        && bounds.earliestMs
        >= *e.effectiveBeforeMs + toMilliseconds(m_settings.validity + clockDriftMargin);
}

tl::expected<config_version, preset_unavailable_reason>
config_follower::inForce(time_point now) const
{
    if (m_entries.empty())
        return tl::unexpected(preset_unavailable_reason::NoConfiguration);
    if (!isConfirmed(now))
        return tl::unexpected(preset_unavailable_reason::Unconfirmed);
    const auto bounds = m_time.at(now);
    if (!bounds)
        return tl::unexpected(preset_unavailable_reason::NoTime);
    for (auto e = m_entries.rbegin(); e != m_entries.rend(); ++e) {
        if (bounds->latestMs < e->version.activateMs)
            continue;
        if (bounds->earliestMs < e->version.activateMs || !isSettled(*e, now, *bounds))
            break;
        return e->version;
    }
    return tl::unexpected(preset_unavailable_reason::Changing);
}

std::optional<config_version> config_follower::current(time_point now) const
{
    if (m_entries.empty())
        return std::nullopt;
    const auto bounds = m_time.at(now);
    for (auto e = m_entries.rbegin(); bounds && e != m_entries.rend(); ++e) {
        if (bounds->earliestMs >= e->version.activateMs)
            return e->version;
    }
    return m_entries.front().version;
}

std::optional<config_version> config_follower::head() const
{
    return m_entries.empty() ? std::nullopt : std::optional(m_entries.back().version);
}

std::optional<peer_config_response> config_follower::forPeer(time_point now) const
{
    if (m_entries.empty())
        return std::nullopt;
    peer_config_response p;
    p.document.head = m_entries.back().version;
    for (std::size_t i = 0; i + 1 < m_entries.size(); ++i)
        p.document.before.push_back(m_entries[i].version);
    if (isConfirmed(now))
        p.confirmedAge = now - *m_confirmedAt;
    if (const auto bounds = m_time.at(now)) {
        p.nowMs = (bounds->earliestMs + bounds->latestMs) / 2;
        p.error = milliseconds((bounds->latestMs - bounds->earliestMs) / 2 + 1);
    }
    return p;
}

tl::expected<config_document, proposal_error>
config_follower::propose(std::shared_ptr<const configuration> config, std::string id,
                         std::string author, config_number expected, time_point now) const
{
    const auto bounds = m_time.at(now);
    if (!bounds)
        return tl::unexpected(proposal_error::NoTime);
    const config_number known = m_entries.empty() ? 0 : m_entries.back().version.number;
    if (known != expected)
        return tl::unexpected(proposal_error::Conflict);

    config_document d;
    d.head = {known + 1,        std::move(id),    std::move(author),
              bounds->latestMs, bounds->latestMs, std::move(config)};
    if (known == 0)
        return d;
    // Activation times grow with the numbers, so at any instant one version is in force.
    d.head.activateMs = std::max(bounds->latestMs + toMilliseconds(m_settings.activationDelay),
                                 m_entries.back().version.activateMs + 1);
    for (const entry &e : m_entries) {
        if (e.version.activateMs <= bounds->earliestMs)
            d.before.clear(); // what came before this one is over everywhere
        d.before.push_back(e.version);
    }
    if (d.before.size() >= maxPendingVersions)
        return tl::unexpected(proposal_error::TooManyWaiting);
    return d;
}

} // namespace azurehill
