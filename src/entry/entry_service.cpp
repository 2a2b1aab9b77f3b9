#include "entry/entry_service.h"

#include "core/log_event.h"
#include "entry/port_limits.h"
#include "limits/limits.h"
#include "platform/ingress.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

constexpr duration sweepInterval = milliseconds(50);
constexpr duration settlePollInterval = milliseconds(10);
/// Interval between removals of rows that are no longer needed.
constexpr duration removalInterval = seconds(1);
/// Interval between counts of the quarantined requests, which takes a look at each.
constexpr duration quarantineMeasureInterval = seconds(1);
constexpr duration shortageLogInterval = seconds(1);
/// Interval between reports to the other daemons: one round of their gossip.
constexpr duration reportPublishInterval = milliseconds(200);
/// Fraction of its remaining time for which a request may wait for a credit.
constexpr double creditWaitShare = 0.25;
/// Retry-After while no daemon lends: a new lender takes about as long to start.
constexpr duration lenderRetryAfter = milliseconds(700);
/// Causes of refusals by a quota.
constexpr std::string_view quotaExhaustedDetail = "the account's quota is used up";
constexpr std::string_view lenderUnavailableDetail = "no daemon lends the account's credits";

/// \returns the id under which the daemons store the program that clients of \p account call \p
/// clientProgram. Programs of the same name of other accounts are other programs.
program_id accountScopedProgram(const account_id &account, const program_id &clientProgram)
{
    if (account.empty() || clientProgram.empty())
        return clientProgram;
    return {fmt::format("{}/{}", account.value, clientProgram.value)};
}

/// \returns the services with engines whose turns a dispatcher decides on: those of resumable
/// streams whose clients keep the history.
std::set<std::string> dispatchedServices(const routing_config &routes)
{
    std::set<std::string> services;
    for (const route_rule &route : routes.routes()) {
        if (!isDispatchedRoute(route))
            continue;
        for (const weighted_service &s : route.services) {
            const service_rule *const service = routes.service(s.service);
            if (service && service->engine)
                services.insert(s.service);
        }
    }
    return services;
}

/// \returns the retention times of turns by the names of their routes.
std::map<std::string, duration> retentionsOf(const routing_config &routes)
{
    std::map<std::string, duration> retentions;
    for (const route_rule &route : routes.routes())
        retentions.emplace(route.name, route.retention);
    return retentions;
}

/// \returns the fingerprint of \p call, from all that defines what it asks for. Fields that differ
/// between the attempts of one request, as its id and its time left, don't count.
request_fingerprint identify(const entry_call &call, const http_request &request)
{
    const client_request &client = call.request;
    const account_id account = call.accountName();
    std::vector<std::string_view> fields{
        account.value,        request.method, client.hostname,           request.target,
        client.program.value, client.session, client.previousTurn.value, client.affinityKey,
        request.body};
    for (const prompt_part &part : client.promptParts)
        fields.emplace_back(part.id);
    return fingerprintOf(fields);
}

/// \brief Keeps a call in a set during its lifetime.
class call_registration
{
public:
    call_registration(std::set<entry_call_ptr> &calls, entry_call_ptr call)
        : m_calls(calls), m_call(std::move(call))
    {
        m_calls.insert(m_call);
    }
    ~call_registration() { m_calls.erase(m_call); }
    call_registration(const call_registration &) = delete;
    call_registration &operator=(const call_registration &) = delete;

private:
    std::set<entry_call_ptr> &m_calls;
    entry_call_ptr m_call;
};

ledger_settings ledgerSettings(const host_settings &s)
{
    const process_limits limits = limitsFor(s.memoryBytes, s.fileDescriptors);
    return {s.rowBytes, s.storeSpansParts, static_cast<std::size_t>(limits.cachedTurnBytes),
            stableHash(s.name.value), limits.cachedPrograms};
}

} // namespace

entry_service::entry_service(asio::io_context &context, const host_settings &settings,
                             entry_metrics &metrics, std::shared_ptr<memory_account> memory)
    : m_settings(settings), m_metrics(metrics), m_executor(context.get_executor()),
      m_random(static_cast<std::uint_fast32_t>(stableHash(settings.name.value))),
      m_transport(
          std::make_shared<peer_transport>(m_executor, settings.storeAddress, settings.mechanisms)),
      m_store(m_transport), m_pacedStore(m_executor, m_store, settings.mechanisms),
      m_ledger(m_pacedStore, ledgerSettings(settings)), m_budgets(m_executor, m_ledger),
      m_slots(m_executor, m_budgets), m_credits(m_executor, m_pacedStore, settings.quota),
      m_quarantine(m_executor, stableHash(settings.name.value)),
      m_loadBalancer(settings.dataCentre, stableHash(settings.name.value), settings.mechanisms),
      m_prober(m_executor, m_loadBalancer),
      m_sender(m_executor, m_loadBalancer, m_quarantine, metrics),
      m_engineAdmission(m_executor, settings.mechanisms, metrics),
      m_localReplies(m_quarantine, metrics),
      m_relay(m_sender, m_loadBalancer, m_engineAdmission, m_localReplies, metrics),
      m_turns(m_executor, m_ledger, m_engineAdmission, m_sender, m_relay, m_localReplies, m_slots,
              metrics),
      m_memory(memory ? std::move(memory) : makeMemoryAccount(settings)),
      m_server(
          m_executor, limitsOf(daemon_port::Clients, settings),
          [this](const http_request &r, response_writer &w) { return serve(r, w); }, m_memory)
{
    m_quarantine.setDirectory(
        [this](std::vector<std::uint64_t> replicas) {
            return m_prober.inquire(std::move(replicas));
        },
        [this] { return m_prober.listed(); });
    m_quarantine.setStore(m_pacedStore, [this] {
        if (m_onQuarantineRestored)
            m_onQuarantineRestored();
    });
}

std::uint16_t entry_service::start()
{
    applyProcessLimits();
    m_pacedStore.setRates(m_settings.storeWritesPerSecond, m_daemons);
    m_pacedStore.setMerging(m_settings.storeSpansParts
                            && m_settings.mechanisms.has(mechanism::BatchedWrites));
    spawn(m_executor, "watchOutages", m_store.probeDuringOutages());
    spawn(m_executor, "sweep", sweep());
    spawn(m_executor, "removeOldRows", removeExpiredRows());
    const bool canExchange = m_credits.start(m_settings.credits) != 0
        && m_slots.start(m_settings.slots) != 0 && m_quarantine.start(m_settings.crashes) != 0;
    return canExchange ? m_server.listen(m_settings.clients) : std::uint16_t(0);
}

void entry_service::beginShutdown(const shutdown_schedule &schedule)
{
    m_shutdown = schedule;
    m_server.announceClose();
    const std::set<entry_call_ptr> calls = m_calls;
    for (const entry_call_ptr &call : calls) {
        const bool isWaiting = !call->wasSent && !call->mayHaveRun;
        if (isWaiting && !endsBeforeShutdown(*call))
            call->abortSend(abort_reason::ShuttingDown);
    }
}

void entry_service::abortRequests()
{
    const std::set<entry_call_ptr> calls = m_calls;
    for (const entry_call_ptr &call : calls)
        call->abortSend(abort_reason::ShuttingDown);
}

bool entry_service::endsBeforeShutdown(const entry_call &call) const
{
    return !m_shutdown || m_shutdown->allows(call.deadline);
}

void entry_service::setRoutes(routing_config_ptr routes)
{
    m_routes = std::move(routes);
    m_sender.setRoutes(m_routes);
    m_prober.setRoutes(m_routes);
    m_ledger.setRetentions(retentionsOf(*m_routes));
    m_credits.setRoutes(m_routes);
    updateClientLimits();
    for (const service_rule &service : m_routes->services()) {
        if (!service.engine)
            continue;
        m_loadBalancer.setCacheTokens(service.name, service.engine->cacheTokens);
        m_engineAdmission.addService(service.name);
    }
    if (m_settings.mechanisms.has(mechanism::ProgramDispatch))
        m_slots.setServices(dispatchedServices(*m_routes));
    m_sender.setSharedReplicas(!m_slots.services().empty());
    updateDispatchedReplicas();
}

void entry_service::setSettings(const host_settings &settings)
{
    m_settings.memoryBytes = settings.memoryBytes;
    m_settings.fileDescriptors = settings.fileDescriptors;
    applyProcessLimits();
    updateClientLimits();
}

void entry_service::applyProcessLimits()
{
    const process_limits limits = limitsFor(m_settings.memoryBytes, m_settings.fileDescriptors);
    m_ledger.setCacheLimits(static_cast<std::size_t>(limits.cachedTurnBytes),
                            limits.cachedPrograms);
    m_loadBalancer.setMaxPromptParts(limits.promptParts);
    m_sender.setMaxIdleConnections(static_cast<std::size_t>(limits.idleReplicaConnections));
}

void entry_service::updateClientLimits()
{
    const client_limits clients = m_routes ? m_routes->limits() : client_limits();
    m_server.setLimits(limitsOf(daemon_port::Clients, m_settings, clients));
    if (!canHoldLargestRequest(m_settings, clients)) {
        logDecision(log_event::LimitsExceedMemory,
                    {{"memory", m_settings.memoryBytes},
                     {"header", static_cast<std::int64_t>(clients.headerBytes)},
                     {"body", static_cast<std::int64_t>(clients.bodyBytes)}});
    }
}

awaitable<void> entry_service::release(time_point deadline)
{
    spawn(m_executor, "releaseHolds", m_budgets.release(deadline));
    co_await m_credits.release(deadline);
}

awaitable<void> entry_service::returnHolds(time_point deadline)
{
    co_await m_budgets.release(deadline);
    while (m_turns.settlesInProgress() > 0 && runtime_clock::now() < deadline)
        co_await sleepFor(settlePollInterval);
}

std::string entry_service::quarantineText() const
{
    boost::json::array list;
    for (const crash_report &report : m_quarantine.quarantinedRequests()) {
        const auto ended
            = std::count_if(report.evidence.begin(), report.evidence.end(),
                            [](const auto &e) { return e.fate == replica_fate::Ended; });
        list.push_back(boost::json::object{{"fingerprint", toText(report.request)},
                                           {"age_ms", toMilliseconds(report.age)},
                                           {"lost_sends", report.evidence.size()},
                                           {"ended", ended}});
    }
    return boost::json::serialize(list);
}

bool entry_service::liftQuarantine(const request_fingerprint &fingerprint)
{
    const bool isKnown = m_quarantine.lift(fingerprint);
    logDecision(log_event::QuarantineLifted,
                {{"fingerprint", toText(fingerprint)}, {"known", isKnown}});
    return isKnown;
}

void entry_service::updateDispatchedReplicas()
{
    std::vector<replica_entry> listed;
    for (const std::string &service : m_slots.services()) {
        for (replica_entry &entry : m_loadBalancer.entries(service))
            listed.push_back(std::move(entry));
    }
    if (!m_slots.services().empty())
        m_slots.setReplicas(std::move(listed));
}

void entry_service::setReplicas(const std::vector<replica_entry> &listed)
{
    for (const replica_entry &ended : m_loadBalancer.setReplicas(listed, runtime_clock::now()))
        m_sender.dropConnections(ended);
    updateDispatchedReplicas();
}

void entry_service::setPeers(std::vector<endpoint> reachingStore, int alive)
{
    m_loadBalancer.setDaemons(alive);
    m_daemons = alive;
    m_pacedStore.setRates(m_settings.storeWritesPerSecond, alive);
    m_transport->setPeers(std::move(reachingStore));
}

void entry_service::setMembers(member_state self, std::vector<member_state> others)
{
    m_slots.setMembers(self, others);
    m_quarantine.setMembers(self, others);
    m_credits.setMembers(std::move(self), std::move(others));
}

awaitable<void> entry_service::removeExpiredRows()
{
    while (true) {
        co_await sleepFor(removalInterval);
        co_await m_ledger.removeExpiredRows();
        co_await m_ledger.findAbandonedRows(m_daemons);
    }
}

void entry_service::logMemoryShortage(time_point now)
{
    const std::int64_t shortages = m_memory->shortages();
    if (shortages == m_loggedShortages || now < m_shortageLoggedAt + shortageLogInterval)
        return;
    logDecision(log_event::MemoryShort,
                {{"times", shortages - m_loggedShortages},
                 {"used", m_memory->usedBytes()},
                 {"limit", m_memory->limit()}});
    m_loggedShortages = shortages;
    m_shortageLoggedAt = now;
}

awaitable<void> entry_service::sweep()
{
    while (true) {
        const time_point now = runtime_clock::now();
        m_sender.sweep(now);
        m_ledger.expire(now);
        m_engineAdmission.update(m_loadBalancer, now);
        publishReports(now);
        logMemoryShortage(now);
        m_metrics.setEjectedReplicas(m_loadBalancer.ejectedReplicas());
        if (now >= m_quarantineMeasuredAt + quarantineMeasureInterval) {
            m_quarantineMeasuredAt = now;
            m_metrics.setQuarantinedRequests(m_quarantine.quarantinedRequests().size());
        }
        if (!m_slots.services().empty())
            m_metrics.setDispatcherLoad(m_slots.gauges(now));
        co_await sleepFor(sweepInterval);
    }
}

void entry_service::mergeAdmissionReports(const std::vector<concurrency_reports> &reports)
{
    m_engineAdmission.mergeReports(reports, static_cast<std::size_t>(m_daemons - 1));
}

void entry_service::mergeReplicaReports(const std::vector<replica_reports> &reports)
{
    m_loadBalancer.mergeReports(reports, runtime_clock::now());
}

void entry_service::publishReports(time_point now)
{
    if (!m_publishAdmissionReport || now < m_reportsPublishedAt + reportPublishInterval)
        return;
    m_reportsPublishedAt = now;
    m_publishAdmissionReport(m_engineAdmission.makeReports());
    if (m_publishReplicaReport)
        m_publishReplicaReport(m_loadBalancer.recentReports(now));
}

std::string entry_service::pickService(const route_rule &route)
{
    double total = 0;
    for (const weighted_service &s : route.services)
        total += s.weight;
    double point = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const weighted_service &s : route.services) {
        point -= s.weight;
        if (point < 0)
            return s.service;
    }
    return route.services.back().service;
}

awaitable<bool> entry_service::findRoute(entry_call_ptr call, const http_request &request,
                                         response_writer &writer)
{
    local_reply rejection = local_reply::Malformed;
    std::string detail;
    auto decoded = decodeClientRequest(request);
    if (decoded)
        call->request = std::move(*decoded);
    call->routes = m_routes;
    call->path = request.path();
    access allowed;
    if (decoded && m_routes)
        call->route = m_routes->find(call->request.hostname, call->path);
    if (call->route)
        allowed = checkAccess(m_routes->accounts(), call->route->isPublic, call->request.key);
    if (!decoded) {
        detail = std::move(decoded.error());
    } else if (!m_routes) {
        rejection = local_reply::Refused;
        detail = "no configuration yet";
    } else if (!call->route || call->route->services.empty()) {
        call->route = nullptr;
        rejection = local_reply::NoRoute;
    } else if (allowed.verdict != access_verdict::Allowed) {
        rejection = local_reply::Unauthorized;
        detail = toName(allowed.verdict);
    } else if (call->request.id.empty()) {
        detail = "the request has no id";
    } else {
        call->account = allowed.account;
        call->rank = rankOf(call->account, *call->route);
        call->request.program = accountScopedProgram(call->accountName(), call->request.program);
        call->fingerprint = identify(*call, request);
        co_return true;
    }
    co_await m_localReplies.write(call, rejection, std::move(detail), writer);
    co_return false;
}

awaitable<void> entry_service::serve(const http_request &request, response_writer &writer)
{
    auto call = std::make_shared<entry_call>();
    call->arrivedAt = runtime_clock::now();
    const bool routed = co_await findRoute(call, request, writer);
    if (!routed)
        co_return;
    call->service = pickService(*call->route);
    const duration timeout = call->request.clientTimeout.value_or(call->route->timeout);
    call->deadline = call->arrivedAt + std::min(timeout, call->route->timeout);
    call->memory.setAccount([&writer](std::size_t bytes) { return writer.tryHold(bytes); });
    writer.onPeerDisconnect([call] {
        call->abortReason = abort_reason::ClientDisconnected;
        call->abortSend(abort_reason::ClientDisconnected);
    });
    if (!endsBeforeShutdown(*call)) {
        call->abortReason = abort_reason::ShuttingDown;
        co_await m_localReplies.write(call, local_reply::Refused, "", writer);
        recordAnswered(*call, writer.finished());
        co_return;
    }
    const call_registration registration(m_calls, call);
    co_await serveAllowed(call, request, writer);
}

awaitable<void> entry_service::serveAllowed(entry_call_ptr call, const http_request &request,
                                            response_writer &writer)
{
    const bool isPassed = co_await passesQuarantine(call, writer);
    if (!isPassed) {
        recordAnswered(*call, writer.finished());
        co_return;
    }
    const bool hasCredit = co_await acquireCredit(call, writer);
    if (hasCredit) {
        co_await serveRouted(call, request, writer);
        m_engineAdmission.release(*call);
        if (call->credit && !call->mayHaveRun)
            m_credits.returnCredit(call->accountName(), *call->credit);
    }
    // The client of a stream that broke off sees its end, and may send the next attempt, only after
    // this.
    co_await m_quarantine.waitUntilShared(call->fingerprint);
    recordAnswered(*call, writer.finished());
}

awaitable<void> entry_service::serveRouted(entry_call_ptr call, const http_request &request,
                                           response_writer &writer)
{
    if (call->route->keepsHistory || call->route->kind == route_kind::Stream)
        co_await m_turns.serve(call, request, writer);
    else
        co_await servePlain(call, request, writer);
}

awaitable<bool> entry_service::passesQuarantine(entry_call_ptr call, response_writer &writer)
{
    const send_verdict verdict = co_await m_quarantine.settledVerdict(call->fingerprint);
    if (isAllowed(verdict))
        co_return true;
    if (call->clientDisconnected())
        co_return false;
    co_await m_localReplies.replyWithVerdict(call, verdict, writer);
    co_return false;
}

awaitable<bool> entry_service::acquireCredit(entry_call_ptr call, response_writer &writer)
{
    if (!call->account || !call->account->quota)
        co_return true;
    const bool isProgramStart = call->route->keepsHistory && call->request.previousTurn.empty();
    const credit_use use = isProgramStart ? credit_use::Begin : credit_use::Continue;
    account_id account = call->accountName();
    const time_point began = runtime_clock::now();
    const auto waitLimit
        = std::chrono::duration_cast<duration>(creditWaitShare * (call->deadline - began));
    const borrow_result result
        = co_await m_credits.borrow(std::move(account), use, began + waitLimit);
    if (const auto *id = std::get_if<credit_id>(&result)) {
        call->credit = *id;
        co_return true;
    }
    if (call->clientDisconnected())
        co_return false;
    const auto *exhausted = std::get_if<quota_used_up>(&result);
    std::string detail(exhausted ? quotaExhaustedDetail : lenderUnavailableDetail);
    const local_reply answer = exhausted ? local_reply::OverQuota : local_reply::Refused;
    co_await m_localReplies.write(call, answer, std::move(detail), writer,
                                  exhausted ? exhausted->retryAfter : lenderRetryAfter);
    co_return false;
}

void entry_service::recordAnswered(const entry_call &call, bool isComplete)
{
    const duration elapsed = runtime_clock::now() - call.arrivedAt;
    m_metrics.onPhase(call.route->name, request_phase::Total, elapsed);
    if (call.account)
        m_metrics.onAccount(call.account->name.value, call.isLocalReply, elapsed);
    if (!call.isLocalReply) {
        const std::string_view cause = isComplete ? "" : "broken_off";
        m_metrics.onAnswer("replica", call.clientDisconnected() ? "client_left" : cause);
    }
    logDecision(log_event::Answered,
                {{"request", call.request.id},
                 {"program", call.request.program.value},
                 {"account", call.accountName().value},
                 {"route", call.route->name},
                 {"config", std::int64_t(call.routes->version())},
                 {"sends", std::int64_t(call.sends)},
                 {"client_left", call.clientDisconnected()},
                 {"complete", isComplete},
                 {"ms", toMilliseconds(elapsed)}});
}

bool entry_service::mayRetry(const entry_call &call)
{
    return call.route->kind == route_kind::Idempotent && call.sends < call.route->maxAttempts
        && call.isWanted() && runtime_clock::now() < call.deadline;
}

awaitable<void> entry_service::servePlain(entry_call_ptr call, const http_request &request,
                                          response_writer &writer)
{
    placement_request placementRequest = placementRequestFor(*call);
    while (true) {
        auto reply = co_await m_sender.open(call, placementRequest, request, request.body);
        if (!reply) {
            send_failure failure = std::move(reply.error());
            co_await m_localReplies.replyWithFailure(call, std::move(failure), writer);
            co_return;
        }
        std::string answer;
        const body_read result = co_await m_relay.readBody(call, *reply, answer);
        if (result == body_read::Broken) {
            m_sender.finish(*call, *reply,
                            call->isWanted() ? send_outcome::Broken : send_outcome::Cancelled);
            ++call->sends;
            if (call->abortReason == abort_reason::AttemptTimeout)
                call->abortReason = abort_reason::None;
            if (mayRetry(*call))
                continue;
            const send_failure broken{send_outcome::Broken, "the answer broke off"};
            co_await m_localReplies.replyWithFailure(call, broken, writer);
            co_return;
        }
        if (result == body_read::Partial) {
            co_await m_relay.relayRemainder(call, *reply, std::move(answer), writer);
            co_return;
        }
        m_sender.finish(*call, *reply, send_outcome::Answered);
        http_response response{reply->head.status, clientReplyHeaders(reply->head),
                               std::move(answer)};
        co_await writer.write(std::move(response));
        co_return;
    }
}

} // namespace azurehill
