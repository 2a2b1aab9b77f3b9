#include "sched/call_quarantine.h"

#include "core/log.h"

#include <fmt/format.h>

#include <set>

namespace azurehill {

namespace {

/// \brief Visitor that names the refusal of a call by the verdict on it.
struct verdict_refusal
{
    std::optional<refusal> operator()(const send_allowed &) const { return std::nullopt; }
    std::optional<refusal> operator()(const send_deferred &verdict) const
    {
        return refusal{refusal_reason::ReplicasInDoubt, "replicas may have ended under the call",
                       verdict.retryAfter};
    }
    std::optional<refusal> operator()(const send_rejected &verdict) const
    {
        return refusal{refusal_reason::Quarantined,
                       fmt::format("replicas ended under the call: {}", verdict.endedReplicas),
                       std::nullopt};
    }
    std::optional<refusal> operator()(const send_undecided &verdict) const
    {
        return refusal{refusal_reason::ReplicasInDoubt, "what ended under the call is not known",
                       verdict.retryAfter};
    }
};

/// \returns the process at \p address. The platform lists no start times; a process that comes back
/// under the same name at another address is another one.
replica_incarnation incarnationOf(const upstream_id &id, const std::string &address)
{
    return {id, static_cast<std::int64_t>(stableHash(address))};
}

} // namespace

std::optional<refusal> call_quarantine::check(const request_fingerprint &call, time_point now) const
{
    return std::visit(verdict_refusal(), m_ledger.verdict(call, now));
}

replica_sight call_quarantine::sightOf(const replica_incarnation &who) const
{
    const auto found = m_listed.find(who.id);
    if (found == m_listed.end() || incarnationOf(who.id, found->second.address) != who)
        return {};
    return {true, found->second.isLeaving, found->second.answeredAt, found->second.leavesNotBefore};
}

void call_quarantine::onEnded(const request_fingerprint &call, const upstream_id &id,
                              const std::string &address, std::optional<send_loss> loss,
                              time_point now)
{
    const auto found = m_listed.find(id);
    if (!loss && found != m_listed.end())
        found->second.answeredAt = now;
    if (loss) {
        m_watch.onSendLost(
            {call, incarnationOf(id, address), ++m_sends}, {*loss, now, false},
            [this](const replica_incarnation &who) { return sightOf(who); }, now);
    }
    update(now);
}

void call_quarantine::setReplicas(const std::vector<replica> &listed, time_point now)
{
    std::map<upstream_id, seen_replica> next;
    for (const replica &r : listed) {
        const auto known = m_listed.find(r.id);
        const bool isSame = known != m_listed.end() && known->second.address == r.address;
        seen_replica seen{r.address, r.leaving, time_point(), time_point()};
        if (isSame) {
            seen.answeredAt = known->second.answeredAt;
            seen.leavesNotBefore
                = known->second.isLeaving ? known->second.leavesNotBefore : m_listedAt;
        }
        next[r.id] = std::move(seen);
    }
    m_listed = std::move(next);
    m_listedAt = now;
    update(now);
    settleByList(now);
}

void call_quarantine::settleByList(time_point now)
{
    std::set<std::uint64_t> listed;
    for (const auto &[id, seen] : m_listed)
        listed.insert(digestOf(incarnationOf(id, seen.address)));
    // The platform has just answered, and it removes entries that are not renewed.
    const fate_lookup fateOf = [&listed](std::uint64_t replica) {
        return std::optional(listed.contains(replica) ? replica_fate::Cleared
                                                      : replica_fate::Ended);
    };
    m_ledger.adoptSuspicions(fateOf, now);
}

void call_quarantine::update(time_point now)
{
    m_watch.update([this](const replica_incarnation &who) { return sightOf(who); }, now);
    for (const crash_finding &finding : m_watch.takeFindings()) {
        m_ledger.merge(reportOf(finding), now);
        logEvent(log_level::Warning, "send_lost",
                 {{"fingerprint", toText(finding.lost.request)},
                  {"replica", finding.lost.replica.id.value},
                  {"loss", std::string(toName(finding.loss))},
                  {"fate", std::string(toName(finding.fate))},
                  {"after_ms", toMilliseconds(finding.after)}});
    }
    m_ledger.expire(now);
}

} // namespace azurehill
