#include "program/release_planner.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr duration initialReleaseRetryDelay = seconds(1);
constexpr duration maxReleaseRetryDelay = seconds(30);
/// The host list is late: an engine that it doesn't name may be back after a moment.
constexpr duration engineAbsenceTimeout = seconds(120);
/// Bound on what one poll asks for, so that a mass end doesn't flood the engines.
constexpr std::size_t maxReleasesInFlight = 32;

/// A call that is under way would fill the engine's memory again after its release.
bool isReleasable(const program &p)
{
    return p.ended && !p.open;
}

} // namespace

void release_planner::onListedEngines(const std::set<upstream_id> &listed, time_point now)
{
    m_firstListAt = std::min(m_firstListAt, now);
    for (const upstream_id &engine : listed)
        m_lastListedAt[engine] = now;
}

std::vector<release_order> release_planner::poll(const program_registry &book, time_point now)
{
    std::erase_if(m_attempts, [&](const auto &entry) {
        const program *p = book.find(entry.first.program);
        return !entry.second.underWay && (!p || !p->engines.count(entry.first.engine));
    });
    auto underWay = static_cast<std::size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(),
                      [](const auto &entry) { return entry.second.underWay; }));
    std::vector<release_order> orders;
    for (const auto &[id, p] : book.programs()) {
        if (!isReleasable(p))
            continue;
        for (const upstream_id &engine : p.engines) {
            const release_order order{id, engine};
            attempt &a
                = m_attempts.try_emplace(order, attempt{false, now, initialReleaseRetryDelay})
                      .first->second;
            if (a.underWay || now < a.nextAttemptAt || underWay >= maxReleasesInFlight)
                continue;
            a.underWay = true;
            ++underWay;
            orders.push_back(order);
        }
    }
    return orders;
}

void release_planner::onAnswer(const release_order &order, bool confirmed, time_point now)
{
    const auto it = m_attempts.find(order);
    if (it == m_attempts.end())
        return;
    attempt &a = it->second;
    a.underWay = false;
    a.nextAttemptAt = now + a.pause;
    if (!confirmed)
        a.pause = std::min(a.pause * 2, maxReleaseRetryDelay);
}

std::vector<release_order> release_planner::gone(const program_registry &book, time_point now) const
{
    std::vector<release_order> orders;
    for (const auto &[id, p] : book.programs()) {
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

std::vector<release_order> release_planner::reconcile(const program_registry &book,
                                                      const upstream_id &engine,
                                                      const std::vector<program_id> &held)
{
    std::vector<release_order> orders;
    for (const program_id &id : held) {
        const program *p = book.find(id);
        if (!p || isReleasable(*p))
            orders.push_back({id, engine});
    }
    return orders;
}

} // namespace azurehill
