#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace azurehill {

namespace {

constexpr duration minRetryAfter = milliseconds(500);

} // namespace

std::uint64_t digestOf(const replica_incarnation &who)
{
    return stableHash(who.id.value, static_cast<std::uint64_t>(who.startedUnixMs));
}

crash_report reportOf(const crash_finding &finding)
{
    return {finding.lost.request,
            duration::zero(),
            {{digestOf(finding.lost.replica), finding.lost.send, finding.fate}},
            finding.workLeft,
            finding.endLeft};
}

bool crash_ledger::mergeInFlight(record &r, const send_in_flight &pending, time_point now)
{
    const bool isOver
        = std::any_of(r.evidence.begin(), r.evidence.end(),
                      [&pending](const crash_evidence &e) { return e.send == pending.send; });
    if (isOver || r.inFlight.size() >= maxEvidence)
        return false;
    return r.inFlight.emplace(pending.send, pending_send{pending.replica, now + pending.left})
        .second;
}

bool crash_ledger::mergeOne(record &r, const crash_evidence &evidence)
{
    r.inFlight.erase(evidence.send);
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
    if (report.age >= lifetime || (report.evidence.empty() && report.inFlight.empty()))
        return false;
    if (!m_records.contains(report.request) && m_records.size() >= maxRequests)
        evictOne();
    record &r = m_records[report.request];
    bool isNew = false;
    for (const crash_evidence &evidence : report.evidence)
        isNew = mergeOne(r, evidence) || isNew;
    for (const send_in_flight &pending : report.inFlight)
        isNew = mergeInFlight(r, pending, now) || isNew;
    if (isNew) {
        r.latestAt = std::max(r.latestAt, now - std::max(report.age, duration::zero()));
        r.workUntil = std::max(r.workUntil, now + report.workLeft);
        r.mayEndUntil = std::max({r.mayEndUntil, r.workUntil, now + report.endLeft});
    }
    return isNew;
}

crash_ledger::crash_count crash_ledger::countOf(const std::vector<crash_evidence> &evidence)
{
    crash_count count;
    for (auto e = evidence.begin(); e != evidence.end(); ++e) {
        const auto isOfReplica = [e](replica_fate fate) {
            return [e, fate](const crash_evidence &other) {
                return other.replica == e->replica && other.fate == fate;
            };
        };
        const auto isKnown = [&](auto end, replica_fate fate) {
            return std::any_of(evidence.begin(), end, isOfReplica(fate));
        };
        if (isKnown(e, e->fate))
            continue;
        if (e->fate == replica_fate::Ended)
            ++count.ended;
        else if (e->fate == replica_fate::Suspected
                 && !isKnown(evidence.end(), replica_fate::Ended))
            ++count.suspected;
    }
    return count;
}

bool crash_ledger::isExpired(const record &r, time_point now)
{
    const bool hasEnded = std::any_of(r.evidence.begin(), r.evidence.end(),
                                      [](const auto &e) { return e.fate == replica_fate::Ended; });
    return now >= r.latestAt + (hasEnded ? lifetime : suspicionLifetime);
}

send_verdict crash_ledger::verdict(const request_fingerprint &request, time_point now,
                                   const std::vector<crash_evidence> &uncounted) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || isExpired(found->second, now))
        return send_allowed();
    const record &r = found->second;
    const auto isCounted = [&uncounted](const crash_evidence &e) {
        return std::find(uncounted.begin(), uncounted.end(), e) == uncounted.end();
    };
    std::vector<crash_evidence> counted;
    std::copy_if(r.evidence.begin(), r.evidence.end(), std::back_inserter(counted), isCounted);
    crash_count count = countOf(counted);
    if (count.ended >= maxEndedReplicas)
        return send_rejected{count.ended};
    const bool isOld = now >= r.latestAt + suspicionLifetime;
    if (isOld)
        count.suspected = 0;
    const auto inFlight
        = std::count_if(r.inFlight.begin(), r.inFlight.end(), [&](const auto &item) {
              const auto &[send, pending] = item;
              return isCounted({pending.replica, send, replica_fate::Suspected});
          });
    const int crashes = count.ended + count.suspected;
    const int possible = crashes + (isOld ? 0 : static_cast<int>(inFlight));
    if (possible < maxEndedReplicas)
        return send_allowed{possible};
    // A send in flight may end at any time.
    if (crashes < maxEndedReplicas)
        return send_deferred{minRetryAfter};
    const time_point settledAt = now < r.workUntil ? r.workUntil : r.latestAt + lapseTime;
    return send_deferred{std::max<duration>(minRetryAfter, settledAt - now)};
}

bool crash_ledger::isQuarantined(const request_fingerprint &request, time_point now) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end())
        return false;
    std::vector<crash_evidence> uncounted;
    for (const auto &[send, pending] : found->second.inFlight)
        uncounted.push_back({pending.replica, send, replica_fate::Suspected});
    return !isAllowed(verdict(request, now, uncounted));
}

std::vector<crash_evidence> crash_ledger::suspicions(const request_fingerprint &request,
                                                     time_point now) const
{
    std::vector<crash_evidence> result;
    const auto found = m_records.find(request);
    if (found == m_records.end() || now < found->second.workUntil)
        return result;
    std::copy_if(found->second.evidence.begin(), found->second.evidence.end(),
                 std::back_inserter(result),
                 [](const auto &e) { return e.fate == replica_fate::Suspected; });
    for (const auto &[send, pending] : found->second.inFlight) {
        if (now >= pending.until)
            result.push_back({pending.replica, send, replica_fate::Suspected});
    }
    return result;
}

bool crash_ledger::isClearedByLife(const request_fingerprint &request, time_point now) const
{
    const auto found = m_records.find(request);
    return found != m_records.end() && now >= found->second.mayEndUntil;
}

std::vector<request_fingerprint> crash_ledger::adoptSuspicions(const fate_lookup &fateOf,
                                                               time_point now)
{
    std::vector<request_fingerprint> changed;
    for (auto &[request, r] : m_records) {
        if (now < std::max(r.latestAt, r.workUntil) + adoptionTime)
            continue;
        bool isChanged = false;
        for (crash_evidence suspicion : suspicions(request, now)) {
            const auto fate = fateOf(suspicion.replica);
            suspicion.fate = fate.value_or(suspicion.fate);
            isChanged = mergeOne(r, suspicion) || isChanged;
        }
        if (!isChanged)
            continue;
        r.latestAt = now;
        changed.push_back(request);
    }
    return changed;
}

crash_report crash_ledger::reportOf(const request_fingerprint &request, const record &r,
                                    time_point now)
{
    const auto timeLeft
        = [now](time_point until) { return std::max<duration>(until - now, duration::zero()); };
    crash_report report{request, now - r.latestAt, r.evidence, timeLeft(r.workUntil),
                        timeLeft(r.mayEndUntil)};
    for (const auto &[send, pending] : r.inFlight)
        report.inFlight.push_back({pending.replica, send, timeLeft(pending.until)});
    return report;
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
        if (isQuarantined(request, now))
            reports.push_back(reportOf(request, r, now));
    }
    return reports;
}

bool crash_ledger::lift(const request_fingerprint &request, time_point now)
{
    const auto found = m_records.find(request);
    if (found == m_records.end())
        return false;
    record &r = found->second;
    for (const auto &[send, pending] : std::exchange(r.inFlight, {}))
        r.evidence.push_back({pending.replica, send, replica_fate::Cleared});
    for (crash_evidence &e : r.evidence)
        e.fate = replica_fate::Cleared;
    found->second.latestAt = now;
    return true;
}

std::vector<crash_report> crash_ledger::expire(time_point now)
{
    std::vector<crash_report> expired;
    std::erase_if(m_records, [&expired, now](const auto &item) {
        const bool isOver = isExpired(item.second, now);
        if (isOver)
            expired.push_back(reportOf(item.first, item.second, now));
        return isOver;
    });
    return expired;
}

bool crash_ledger::isKnown(const request_fingerprint &request, std::uint64_t send) const
{
    const auto found = m_records.find(request);
    return found != m_records.end()
        && (found->second.inFlight.contains(send)
            || std::any_of(found->second.evidence.begin(), found->second.evidence.end(),
                           [send](const crash_evidence &e) { return e.send == send; }));
}

bool crash_ledger::isInFlight(const request_fingerprint &request, std::uint64_t send) const
{
    const auto found = m_records.find(request);
    return found != m_records.end() && found->second.inFlight.contains(send);
}

void crash_ledger::evictOne()
{
    const auto rank = [](const auto &item) {
        const crash_count count = countOf(item.second.evidence);
        return std::tuple(count.ended, count.suspected, item.second.latestAt);
    };
    const auto least
        = std::min_element(m_records.begin(), m_records.end(),
                           [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
    m_records.erase(least);
}

} // namespace azurehill
