#include "crashes/request_quarantine.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>
#include <iterator>

namespace azurehill {

namespace {

constexpr duration updateInterval = milliseconds(200);
/// Interval between looks at the list of replicas, which may be long.
constexpr duration adoptionInterval = seconds(5);
constexpr duration restoreRetryInterval = milliseconds(100);
constexpr duration restoreTimeout = seconds(1);
/// Time after the start for which requests wait for the evidence in the store.
constexpr duration maxRestoreWait = seconds(1);
constexpr duration undecidedRetryAfter = milliseconds(500);

/// \brief Visitor that names a verdict in the log.
struct verdict_name
{
    std::string_view operator()(const send_allowed &) const { return "allowed"; }
    std::string_view operator()(const send_deferred &) const { return "deferred"; }
    std::string_view operator()(const send_rejected &) const { return "rejected"; }
    std::string_view operator()(const send_undecided &) const { return "undecided"; }
};

/// \returns the report of \p evidence on a send of \p request, on which no replica works any more.
crash_report reportOn(const request_fingerprint &request, const crash_evidence &evidence)
{
    return {request, duration::zero(), {evidence}};
}

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

void request_quarantine::setStore(store &evidence, std::function<void()> onRestored)
{
    m_archive = std::make_unique<crash_archive>(m_executor, evidence);
    m_onRestored = std::move(onRestored);
    m_exchange.onExpired([this](const crash_report &report) { m_archive->remove(report); });
}

std::uint16_t request_quarantine::start(const endpoint &address)
{
    m_startedAt = runtime_clock::now();
    if (m_archive)
        spawn(m_executor, "restoreQuarantine", restore());
    return m_exchange.start(address);
}

awaitable<void> request_quarantine::restore()
{
    auto reports = co_await m_archive->read(crash_rows::all(), restoreTimeout);
    while (!reports) {
        co_await sleepFor(restoreRetryInterval);
        reports = co_await m_archive->read(crash_rows::all(), restoreTimeout);
    }
    const time_point now = runtime_clock::now();
    for (const crash_report &report : *reports)
        m_ledger.merge(report, now);
    m_isRestored = true;
    for (const auto &waiter : m_restoreWaiters)
        waiter->cancel();
    logDecision(log_event::QuarantineRestored,
                {{"sends", std::int64_t(reports->size())},
                 {"requests", std::int64_t(m_ledger.size())},
                 {"quarantined", std::int64_t(m_ledger.quarantined(now).size())},
                 {"ms", toMilliseconds(now - m_startedAt)}});
    if (m_onRestored)
        m_onRestored();
}

awaitable<void> request_quarantine::waitUntilRestored()
{
    const time_point until = m_startedAt + maxRestoreWait;
    const auto wait = std::make_shared<timer>(m_executor);
    m_restoreWaiters.insert(wait);
    while (!isRestored() && runtime_clock::now() < until) {
        wait->expires_at(until);
        boost::system::error_code code;
        co_await wait->async_wait(asio::redirect_error(use_awaitable, code));
    }
    m_restoreWaiters.erase(wait);
}

send_verdict request_quarantine::verdict(const request_fingerprint &request) const
{
    if (!isRestored())
        return send_undecided{undecidedRetryAfter};
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
    const decision result = co_await decide(request);
    co_return result.verdict;
}

awaitable<send_verdict> request_quarantine::announce(lost_send send, duration timeLeft)
{
    decision result = co_await decide(send.request);
    const auto *const allowed = std::get_if<send_allowed>(&result.verdict);
    if (!allowed || (allowed->crashes == 0 && result.uncounted.empty()))
        co_return result.verdict;
    result.uncounted.push_back(recordInFlight(send, timeLeft));
    startSharing(send.request, crash_audience::AsNeeded);
    co_await waitUntilShared(send.request);
    const send_verdict verdict
        = m_ledger.verdict(send.request, runtime_clock::now(), result.uncounted);
    if (!isAllowed(verdict))
        onSendEnded(send);
    co_return verdict;
}

crash_evidence request_quarantine::recordInFlight(const lost_send &send, duration timeLeft)
{
    const std::uint64_t replica = digestOf(send.replica);
    crash_report report;
    report.request = send.request;
    report.inFlight = {{replica, send.send, timeLeft}};
    m_ledger.merge(report, runtime_clock::now());
    const crash_evidence suspicion{replica, send.send, replica_fate::Suspected};
    if (m_archive) {
        crash_report stored = reportOn(send.request, suspicion);
        stored.workLeft = timeLeft;
        stored.endLeft = timeLeft;
        m_archive->put(stored);
    }
    return suspicion;
}

void request_quarantine::onSendEnded(const lost_send &send)
{
    if (!m_ledger.isInFlight(send.request, send.send))
        return;
    const crash_report report
        = reportOn(send.request, {digestOf(send.replica), send.send, replica_fate::Cleared});
    m_ledger.merge(report, runtime_clock::now());
    if (m_archive)
        m_archive->remove(report);
    // No client waits for this.
    spawn(m_executor, "shareCleared", m_exchange.share(send.request));
}

awaitable<request_quarantine::decision> request_quarantine::decide(request_fingerprint request)
{
    if (!isRestored())
        co_await waitUntilRestored();
    co_await waitUntilShared(request);
    send_verdict known = verdict(request);
    if (std::holds_alternative<send_deferred>(known)
        && !m_ledger.isQuarantined(request, runtime_clock::now())) {
        // The custodians may know by now how the sends in flight ended.
        co_await m_exchange.share(request);
        known = verdict(request);
    }
    if (!std::holds_alternative<send_deferred>(known) || !m_inquiry)
        co_return decision{known, {}};
    std::vector<crash_evidence> alive = co_await settleSuspicions(request);
    const send_verdict settled = m_ledger.verdict(request, runtime_clock::now(), alive);
    co_return decision{settled, std::move(alive)};
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
        if (m_archive && found.evidence[i].fate == replica_fate::Cleared)
            m_archive->remove(reportOn(request, found.evidence[i]));
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
    // It ended as planned. One that ended with its connection is found out later.
    if (seen.loss != send_loss::EndedWithConnection)
        onSendEnded(lost);
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
    if (m_archive)
        spawn(m_executor, "removeCrashRows", m_archive->removeAll(request));
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
        const bool wasKnown = m_ledger.isKnown(request, finding.lost.send);
        const bool isNew = m_ledger.merge(reportOf(finding), runtime_clock::now());
        if (!isNew)
            continue;
        archive(finding, wasKnown);
        logVerdict(request);
        startSharing(request, crash_audience::AsNeeded);
    }
}

void request_quarantine::archive(const crash_finding &finding, bool wasKnown)
{
    if (!m_archive)
        return;
    const crash_report report = reportOf(finding);
    if (finding.fate == replica_fate::Cleared)
        m_archive->remove(report);
    else if (!wasKnown)
        // A suspicion counts like an end, so that the row need not change with the fate.
        m_archive->put(report);
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
    if (m_archive)
        co_await m_archive->waitUntilStored(request);
    const auto current = m_sharing.find(request);
    if (current != m_sharing.end() && current->second == done)
        m_sharing.erase(current);
    done->notifyAll();
}

void request_quarantine::logVerdict(const request_fingerprint &request) const
{
    if (!m_ledger.isQuarantined(request, runtime_clock::now()))
        return;
    const send_verdict now = m_ledger.verdict(request, runtime_clock::now());
    logDecision(log_event::RequestQuarantined,
                {{"fingerprint", toText(request)},
                 {"verdict", std::string(std::visit(verdict_name(), now))}});
}

} // namespace azurehill
