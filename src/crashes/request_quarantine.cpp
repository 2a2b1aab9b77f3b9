#include "crashes/request_quarantine.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

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
/// Interval between reads of the evidence while daemons are missing, and the number of daemons that
/// read within it. Shorter than clients wait between attempts.
constexpr duration evidenceReadInterval = milliseconds(200);
constexpr std::size_t concurrentEvidenceReaders = 16;
/// Other daemons take one that stands still for longer to have ended, and tell it nothing more.
constexpr duration minStandstill = seconds(2);
/// Announcements of one send, and the maximum time between two of them.
constexpr int maxAnnouncements = 4;
constexpr duration announcementInterval = milliseconds(60);

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
    : m_executor(executor), m_random(static_cast<std::uint_fast32_t>(seed)),
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
    if (m_archive) {
        m_isReading = true;
        m_awaitedUntil = runtime_clock::now() + maxRestoreWait;
        spawn(m_executor, "restoreQuarantine", restore());
        spawn(m_executor, "followEvidence", followEvidence());
    }
    return m_exchange.start(address);
}

void request_quarantine::setMembers(const member_state &self, std::vector<member_state> others)
{
    m_missing.update(others, runtime_clock::now());
    m_daemons = others.size() + 1;
    m_exchange.setMembers(self, std::move(others));
}

awaitable<void> request_quarantine::restore()
{
    const time_point began = runtime_clock::now();
    bool isRead = co_await readEvidence(crash_rows::all(), restoreTimeout);
    while (!isRead) {
        co_await sleepFor(restoreRetryInterval);
        isRead = co_await readEvidence(crash_rows::all(), restoreTimeout);
    }
    m_isRestored = true;
    endRestoreWait();
    logRestored(runtime_clock::now() - began);
    if (m_onRestored)
        m_onRestored();
}

awaitable<void> request_quarantine::readAfterStandstill()
{
    const time_point began = runtime_clock::now();
    m_awaitedUntil = began + maxRestoreWait;
    const bool isRead = co_await readEvidence(crash_rows::all(), restoreTimeout);
    endRestoreWait();
    if (isRead)
        logRestored(runtime_clock::now() - began);
}

awaitable<void> request_quarantine::followEvidence()
{
    store_version known = 0;
    while (true) {
        // The daemons together read no more often the more of them there are.
        co_await sleepFor(evidenceReadInterval
                          * std::max<std::size_t>(1, m_daemons / concurrentEvidenceReaders));
        const bool isNeeded = m_isRestored && m_missing.any(runtime_clock::now());
        if (isNeeded)
            known = co_await readChanges(known);
        else
            known = 0;
    }
}

awaitable<store_version> request_quarantine::readChanges(store_version after)
{
    std::optional<evidence_page> page;
    if (after == 0)
        page = co_await m_archive->read(crash_rows::all(), restoreTimeout);
    else
        page = co_await m_archive->follow(after);
    if (!page)
        co_return 0;
    mergeEvidence(*page);
    co_return std::max(after, page->version);
}

awaitable<bool> request_quarantine::readEvidence(row_range range, duration timeout)
{
    const auto page = co_await m_archive->read(std::move(range), timeout);
    if (page)
        mergeEvidence(*page);
    co_return page.has_value();
}

void request_quarantine::mergeEvidence(const evidence_page &page)
{
    const time_point now = runtime_clock::now();
    for (const crash_report &report : page.reports) {
        if (m_ledger.merge(report, now))
            logVerdict(report.request);
    }
}

bool request_quarantine::mayMissReports(const request_fingerprint &request) const
{
    const time_point now = runtime_clock::now();
    return m_archive && m_ledger.find(request, now)
        && (!m_missing.hasMembers() || m_missing.any(now));
}

void request_quarantine::endRestoreWait()
{
    m_isReading = false;
    for (const auto &waiter : m_restoreWaiters)
        waiter->cancel();
}

void request_quarantine::logRestored(duration elapsed) const
{
    logDecision(log_event::QuarantineRestored,
                {{"requests", std::int64_t(m_ledger.size())},
                 {"quarantined", std::int64_t(quarantinedRequests().size())},
                 {"ms", toMilliseconds(elapsed)}});
}

awaitable<void> request_quarantine::waitUntilRestored()
{
    const auto wait = std::make_shared<timer>(m_executor);
    m_restoreWaiters.insert(wait);
    while (m_isReading && runtime_clock::now() < m_awaitedUntil) {
        wait->expires_at(m_awaitedUntil);
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

awaitable<send_announcement> request_quarantine::announce(lost_send send, duration timeLeft)
{
    send_announcement result;
    result.send = send.send;
    result.verdict = co_await tryAnnounce(send, timeLeft);
    // Sends that are announced at the same moment keep each other back.
    for (int i = 1; i < maxAnnouncements && isKeptBackByFlight(send.request, result.verdict); ++i) {
        std::uniform_int_distribution<duration::rep> delay(0, announcementInterval.count());
        co_await sleepFor(duration(delay(m_random)));
        // The earlier number was withdrawn.
        send.send = stableHash(send.replica.id.value, send.send);
        result.send = send.send;
        result.verdict = co_await tryAnnounce(send, timeLeft);
    }
    co_return result;
}

bool request_quarantine::isKeptBackByFlight(const request_fingerprint &request,
                                            const send_verdict &verdict) const
{
    return std::holds_alternative<send_deferred>(verdict)
        && !m_ledger.isQuarantined(request, runtime_clock::now());
}

awaitable<send_verdict> request_quarantine::tryAnnounce(lost_send send, duration timeLeft)
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
    if (m_isReading)
        co_await waitUntilRestored();
    co_await waitUntilShared(request);
    send_verdict known = verdict(request);
    if (isAllowed(known) && mayMissReports(request)) {
        co_await readEvidence(crash_rows::ofRequest(request), crash_archive::storeTimeout);
        known = verdict(request);
    }
    if (isKeptBackByFlight(request, known)) {
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
    const bool stoodStill = m_updatedAt != time_point() && now >= m_updatedAt + minStandstill;
    m_updatedAt = now;
    if (stoodStill && m_archive && !std::exchange(m_isReading, true))
        spawn(m_executor, "readAfterStandstill", readAfterStandstill());
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
