#include "program/release_planner.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr duration initialReleaseRetryDelay = seconds(1);
constexpr duration maxReleaseRetryDelay = seconds(30);
/// The host list lags: an engine that is missing from it may be listed again shortly after.
constexpr duration engineAbsenceTimeout = seconds(120);
/// Limit on concurrent releases, so that the end of many programs at once doesn't flood the
/// engines.
constexpr std::size_t maxReleasesInFlight = 32;

/// A call in progress would fill the engine's cache again after the release.
bool isReleasable(const program &p)
{
    return p.ended && !p.openCall;
}

} // namespace

void release_planner::onListedEngines(const std::set<upstream_id> &listed, time_point now)
{
    m_firstListAt = std::min(m_firstListAt, now);
    for (const upstream_id &engine : listed)
        m_lastListedAt[engine] = now;
}

std::vector<release_order> release_planner::poll(const program_registry &registry, time_point now)
{
    std::erase_if(m_attempts, [&](const auto &entry) {
        const program *p = registry.find(entry.first.program);
        return !entry.second.inFlight && (!p || !p->engines.count(entry.first.engine));
    });
    auto inFlight = static_cast<std::size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(),
                      [](const auto &entry) { return entry.second.inFlight; }));
    std::vector<release_order> orders;
    for (const auto &[id, p] : registry.programs()) {
        if (!isReleasable(p))
            continue;
        for (const upstream_id &engine : p.engines) {
            const release_order order{id, engine};
            attempt &a
                = m_attempts.try_emplace(order, attempt{false, now, initialReleaseRetryDelay})
                      .first->second;
            if (a.inFlight || now < a.nextAttemptAt || inFlight >= maxReleasesInFlight)
                continue;
            a.inFlight = true;
            ++inFlight;
            orders.push_back(order);
        }
    }
    return orders;
}

void release_planner::onResponse(const release_order &order, bool confirmed, time_point now)
{
    const auto it = m_attempts.find(order);
    if (it == m_attempts.end())
        return;
    attempt &a = it->second;
    a.inFlight = false;
    a.nextAttemptAt = now + a.retryDelay;
    if (!confirmed)
        a.retryDelay = std::min(a.retryDelay * 2, maxReleaseRetryDelay);
}

std::vector<release_order> release_planner::ordersForLostEngines(const program_registry &registry,
                                                                 time_point now) const
{
    std::vector<release_order> orders;
    for (const auto &[id, p] : registry.programs()) {
        if (!isReleasable(p))
            continue;
        for (const upstream_id &engine : p.engines) {
            const auto it = m_lastListedAt.find(engine);
            const time_point last = it == m_lastListedAt.end() ? m_firstListAt : it->second;
            if (last != time_point::max() && now - last > engineAbsenceTimeout)
                orders.push_back({id, engine});
        }
    }
    return orders;
}

std::vector<release_order> release_planner::reconcile(const program_registry &registry,
                                                      const upstream_id &engine,
                                                      const std::vector<program_id> &held)
{
    std::vector<release_order> orders;
    for (const program_id &id : held) {
        const program *p = registry.find(id);
        if (!p || isReleasable(*p))
            orders.push_back({id, engine});
    }
    return orders;
}

} // namespace azurehill
