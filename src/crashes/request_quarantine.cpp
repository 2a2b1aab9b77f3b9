#include "crashes/request_quarantine.h"

#include "core/log_event.h"

#include <algorithm>
#include <iterator>

namespace azurehill {

namespace {

constexpr duration updateInterval = milliseconds(200);
/// Interval between looks at the list of replicas, which may be long.
constexpr duration adoptionInterval = seconds(5);

/// \brief Visitor that names a verdict in the log.
struct verdict_name
{
    std::string_view operator()(const send_allowed &) const { return "allowed"; }
    std::string_view operator()(const send_deferred &) const { return "deferred"; }
    std::string_view operator()(const send_rejected &) const { return "rejected"; }
};

/// \returns the fate of a suspected replica that showed \p sight when it was asked.
replica_fate fateBy(process_sight sight)
{
    switch (sight) {
    case process_sight::Alive:
        return replica_fate::Cleared;
    case process_sight::Replaced:
        return replica_fate::Ended;
    case process_sight::Unknown:
        break;
    }
    return replica_fate::Suspected;
}

} // namespace

request_quarantine::request_quarantine(const asio::any_io_executor &executor, std::uint64_t seed)
    : m_executor(executor),
      m_exchange(executor, m_ledger, seed,
                 [this](const request_fingerprint &request) { logVerdict(request); })
{ }

send_verdict request_quarantine::verdict(const request_fingerprint &request) const
{
    return m_ledger.verdict(request, runtime_clock::now());
}

awaitable<void> request_quarantine::waitUntilShared(request_fingerprint request)
{
    const auto sharing = m_sharing.find(request);
    if (sharing == m_sharing.end())
        co_return;
    const std::shared_ptr<notifier> done = sharing->second;
    co_await done->waitForChangeSince(0);
}

awaitable<send_verdict> request_quarantine::settledVerdict(request_fingerprint request)
{
    co_await waitUntilShared(request);
    const send_verdict known = verdict(request);
    if (!std::holds_alternative<send_deferred>(known) || !m_inquiry)
        co_return known;
    const std::vector<crash_evidence> alive = co_await settleSuspicions(request);
    co_return m_ledger.verdict(request, runtime_clock::now(), alive);
}

awaitable<std::vector<crash_evidence>>
request_quarantine::settleSuspicions(request_fingerprint request)
{
    std::vector<crash_evidence> alive;
    crash_report found{request, duration::zero(),
                       m_ledger.suspicions(request, runtime_clock::now())};
    if (found.evidence.empty())
        co_return alive;
    const bool isClearedByLife = m_ledger.isClearedByLife(request, runtime_clock::now());
    std::vector<std::uint64_t> suspects;
    std::transform(found.evidence.begin(), found.evidence.end(), std::back_inserter(suspects),
                   [](const crash_evidence &e) { return e.replica; });
    const std::vector<process_sight> seen = co_await m_inquiry(std::move(suspects));
    for (std::size_t i = 0; i < seen.size(); ++i) {
        const replica_fate fate = fateBy(seen[i]);
        if (fate == replica_fate::Cleared && !isClearedByLife)
            alive.push_back(found.evidence[i]);
        else
            found.evidence[i].fate = fate;
    }
    const bool isNew = m_ledger.merge(found, runtime_clock::now());
    if (isNew) {
        logVerdict(request);
        startSharing(request, crash_audience::AsNeeded);
        co_await waitUntilShared(request);
    }
    co_return alive;
}

void request_quarantine::onSendLost(const lost_send &lost, const loss_observation &seen,
                                    const replica_lookup &lookup)
{
    m_watch.onSendLost(lost, seen, lookup, runtime_clock::now());
    processFindings();
}

void request_quarantine::onAddressTaken(const replica_incarnation &who)
{
    m_watch.onAddressTaken(who, runtime_clock::now());
    processFindings();
}

void request_quarantine::update(const replica_lookup &lookup)
{
    const time_point now = runtime_clock::now();
    if (now < m_updatedAt + updateInterval)
        return;
    m_updatedAt = now;
    m_watch.update(lookup, now);
    processFindings();
    adoptSuspicions(now);
}

void request_quarantine::adoptSuspicions(time_point now)
{
    if (!m_listed || now < m_adoptedAt + adoptionInterval)
        return;
    m_adoptedAt = now;
    const std::vector<std::uint64_t> listed = m_listed();
    // A daemon that has just started knows no replicas yet.
    if (listed.empty())
        return;
    // An entry may outlive its process while the store is away, so that it shows nothing.
    const fate_lookup fateOf = [&listed](std::uint64_t replica) {
        const bool isListed = std::binary_search(listed.begin(), listed.end(), replica);
        return isListed ? std::nullopt : std::optional(replica_fate::Ended);
    };
    for (const request_fingerprint &request : m_ledger.adoptSuspicions(fateOf, now)) {
        logVerdict(request);
        startSharing(request, crash_audience::AsNeeded);
    }
}

std::vector<crash_report> request_quarantine::quarantinedRequests() const
{
    return m_ledger.quarantined(runtime_clock::now());
}

bool request_quarantine::lift(const request_fingerprint &request)
{
    const bool isKnown = m_ledger.lift(request, runtime_clock::now());
    if (isKnown)
        startSharing(request, crash_audience::Everyone);
    return isKnown;
}

void request_quarantine::processFindings()
{
    for (const crash_finding &finding : m_watch.takeFindings()) {
        const request_fingerprint &request = finding.lost.request;
        logDecision(log_event::SendLost,
                    {{"fingerprint", toText(request)},
                     {"replica", finding.lost.replica.id.value},
                     {"loss", std::string(toName(finding.loss))},
                     {"fate", std::string(toName(finding.fate))},
                     {"after_ms", toMilliseconds(finding.after)}});
        const bool isNew = m_ledger.merge(reportOf(finding), runtime_clock::now());
        if (!isNew)
            continue;
        logVerdict(request);
        startSharing(request, crash_audience::AsNeeded);
    }
}

void request_quarantine::startSharing(const request_fingerprint &request, crash_audience audience)
{
    auto done = std::make_shared<notifier>();
    m_sharing[request] = done;
    spawn(m_executor, "shareCrash", share(request, audience, std::move(done)));
}

awaitable<void> request_quarantine::share(request_fingerprint request, crash_audience audience,
                                          std::shared_ptr<notifier> done)
{
    co_await m_exchange.share(request, audience);
    const auto current = m_sharing.find(request);
    if (current != m_sharing.end() && current->second == done)
        m_sharing.erase(current);
    done->notifyAll();
}

void request_quarantine::logVerdict(const request_fingerprint &request) const
{
    const send_verdict now = verdict(request);
    if (isAllowed(now))
        return;
    logDecision(log_event::RequestQuarantined,
                {{"fingerprint", toText(request)},
                 {"verdict", std::string(std::visit(verdict_name(), now))}});
}

} // namespace azurehill
