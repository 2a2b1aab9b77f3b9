#include "sched/replica_table.h"

#include <algorithm>

namespace azurehill {

void replica_table::setReplicas(const std::vector<replica> &listed)
{
    for (entry &e : m_entries)
        e.gone = true;
    for (const replica &r : listed) {
        const auto [it, added]
            = m_index.try_emplace(r.id, static_cast<replica_index>(m_entries.size()));
        if (added)
            m_entries.emplace_back();
        entry &e = m_entries[it->second];
        const int outstanding = e.listed.outstanding;
        // A host that was started again under its name has not said that it leaves.
        if (e.listed.address != r.address)
            e.reportedLeaving = false;
        e.listed = r;
        e.listed.outstanding = outstanding;
        e.gone = false;
    }
    regroup();
}

void replica_table::setLeaving(replica_index index)
{
    m_entries[index].reportedLeaving = true;
    regroup();
}

void replica_table::regroup()
{
    m_groups.clear();
    for (replica_index i = 0; i < m_entries.size(); ++i) {
        if (!isOpen(i))
            continue;
        const replica &r = m_entries[i].listed;
        replica_group &g = m_groups[r.service];
        (r.dataCentre == m_here ? g.near : g.far).push_back(i);
    }
}

void replica_table::onReport(const upstream_id &id, const load_report &report)
{
    const replica_index index = find(id);
    if (index == noReplica)
        return;
    entry &e = m_entries[index];
    if (report.takenAt < e.report.takenAt)
        return;
    e.report = report;
    while (!e.changes.empty() && e.changes.front().at <= report.takenAt) {
        e.callsSinceReport -= e.changes.front().calls;
        e.prefillSinceReport -= e.changes.front().prefillTokens;
        e.changes.pop_front();
    }
}

void replica_table::change(entry &e, int calls, std::int64_t prefillTokens, time_point now)
{
    e.listed.outstanding += calls;
    // A replica that never reports is judged by this daemon's work alone, without a list that
    // grows.
    if (e.report.takenAt == time_point())
        return;
    e.changes.push_back({now, calls, prefillTokens});
    e.callsSinceReport += calls;
    e.prefillSinceReport += prefillTokens;
}

void replica_table::onSent(replica_index index, std::int64_t promptTokens,
                           std::int64_t prefillTokens, time_point now)
{
    m_entries[index].ownTokens += promptTokens;
    m_entries[index].ownPrefill += prefillTokens;
    change(m_entries[index], 1, prefillTokens, now);
}

void replica_table::onDone(replica_index index, std::int64_t promptTokens,
                           std::int64_t prefillTokens, time_point sentAt, time_point now)
{
    entry &e = m_entries[index];
    e.ownTokens -= promptTokens;
    e.ownPrefill -= prefillTokens;
    // A report taken after the call was sent shows what was left of its prefill by then.
    change(e, -1, sentAt > e.report.takenAt ? -prefillTokens : 0, now);
}

replica_index replica_table::find(const upstream_id &id) const
{
    const auto it = m_index.find(id);
    return it == m_index.end() ? noReplica : it->second;
}

bool replica_table::isOpen(replica_index index) const
{
    const entry &e = m_entries[index];
    return !e.gone && !e.reportedLeaving && !e.listed.leaving;
}

load_estimate replica_table::load(replica_index index) const
{
    const entry &e = m_entries[index];
    if (e.report.takenAt == time_point())
        return {double(e.listed.outstanding), double(e.ownPrefill)};
    const int calls = e.report.running + e.report.waiting + e.callsSinceReport;
    return {double(std::max(calls, e.listed.outstanding)),
            double(std::max<std::int64_t>(e.report.prefillTokens + e.prefillSinceReport, 0))};
}

const replica_group &replica_table::group(std::string_view service) const
{
    static const replica_group none;
    const auto it = m_groups.find(service);
    return it == m_groups.end() ? none : it->second;
}

std::vector<replica> replica_table::list() const
{
    std::vector<replica> all;
    for (const entry &e : m_entries) {
        if (!e.gone)
            all.push_back(e.listed);
    }
    return all;
}

} // namespace azurehill
