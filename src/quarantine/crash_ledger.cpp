#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace azurehill {

namespace {

/// Time after a suspicion within which the entry of a replica that ended lapses.
constexpr duration lapseTime = seconds(5);
constexpr duration minRetryAfter = milliseconds(500);
/// Time after which a suspicion no longer counts, in case the daemon that has it ended itself
/// before it could tell more.
constexpr duration suspicionTime = seconds(20);

} // namespace

crash_report reportOf(const crash_finding &finding)
{
    const replica_incarnation &who = finding.lost.replica;
    const auto started = static_cast<std::uint64_t>(who.startedUnixMs);
    return {finding.lost.request,
            duration::zero(),
            {{stableHash(who.id.value, started), finding.lost.send, finding.fate}}};
}

bool crash_ledger::mergeOne(record &r, const crash_evidence &evidence)
{
    const auto known
        = std::find_if(r.evidence.begin(), r.evidence.end(), [&](const crash_evidence &e) {
              return e.replica == evidence.replica && e.send == evidence.send;
          });
    if (known != r.evidence.end()) {
        const bool isLater = evidence.fate > known->fate;
        known->fate = std::max(known->fate, evidence.fate);
        return isLater;
    }
    if (r.evidence.size() >= maxEvidence) {
        const auto cleared
            = std::find_if(r.evidence.begin(), r.evidence.end(),
                           [](const crash_evidence &e) { return e.fate == replica_fate::Cleared; });
        if (cleared == r.evidence.end())
            return false;
        r.evidence.erase(cleared);
    }
    r.evidence.push_back(evidence);
    return true;
}

bool crash_ledger::merge(const crash_report &report, time_point now)
{
    if (report.age >= lifetime || report.evidence.empty())
        return false;
    if (!m_records.contains(report.request) && m_records.size() >= maxRequests)
        evictOne();
    record &r = m_records[report.request];
    bool isNew = false;
    for (const crash_evidence &evidence : report.evidence)
        isNew = mergeOne(r, evidence) || isNew;
    if (isNew)
        r.latestAt = std::max(r.latestAt, now - std::max(report.age, duration::zero()));
    return isNew;
}

crash_ledger::crash_count crash_ledger::countOf(const record &r)
{
    std::set<std::uint64_t> ended;
    std::set<std::uint64_t> suspected;
    for (const crash_evidence &e : r.evidence) {
        if (e.fate == replica_fate::Ended)
            ended.insert(e.replica);
        else if (e.fate == replica_fate::Suspected)
            suspected.insert(e.replica);
    }
    const auto suspectedOnly
        = std::count_if(suspected.begin(), suspected.end(),
                        [&](std::uint64_t who) { return !ended.contains(who); });
    return {static_cast<int>(ended.size()), static_cast<int>(suspectedOnly)};
}

send_verdict crash_ledger::verdict(const request_fingerprint &request, time_point now) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || now >= found->second.latestAt + lifetime)
        return send_allowed();
    crash_count count = countOf(found->second);
    if (count.ended >= maxEndedReplicas)
        return send_rejected{count.ended};
    if (now >= found->second.latestAt + suspicionTime)
        count.suspected = 0;
    if (count.ended + count.suspected < maxEndedReplicas)
        return send_allowed{count.ended + count.suspected};
    return send_deferred{
        std::max<duration>(minRetryAfter, found->second.latestAt + lapseTime - now)};
}

crash_report crash_ledger::reportOf(const request_fingerprint &request, const record &r,
                                    time_point now)
{
    return {request, now - r.latestAt, r.evidence};
}

std::optional<crash_report> crash_ledger::find(const request_fingerprint &request,
                                               time_point now) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end())
        return std::nullopt;
    return reportOf(request, found->second, now);
}

std::vector<crash_report> crash_ledger::quarantined(time_point now) const
{
    std::vector<crash_report> reports;
    for (const auto &[request, r] : m_records) {
        if (!isAllowed(verdict(request, now)))
            reports.push_back(reportOf(request, r, now));
    }
    return reports;
}

bool crash_ledger::lift(const request_fingerprint &request, time_point now)
{
    const auto found = m_records.find(request);
    if (found == m_records.end())
        return false;
    for (crash_evidence &e : found->second.evidence)
        e.fate = replica_fate::Cleared;
    found->second.latestAt = now;
    return true;
}

void crash_ledger::expire(time_point now)
{
    std::erase_if(m_records,
                  [now](const auto &item) { return now >= item.second.latestAt + lifetime; });
}

void crash_ledger::evictOne()
{
    const auto rank = [](const auto &item) {
        const crash_count count = countOf(item.second);
        return std::tuple(count.ended, count.suspected, item.second.latestAt);
    };
    const auto least
        = std::min_element(m_records.begin(), m_records.end(),
                           [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    m_records.erase(least);
}

} // namespace azurehill
