#include "entry/entry_service.h"

#include "core/log_event.h"
#include "http/sse.h"
#include "platform/ingress.h"

#include <boost/asio/redirect_error.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

constexpr duration sweepPause = milliseconds(50);
/// Pause between removals of rows that are no longer needed.
constexpr duration removalPause = seconds(1);
/// Answers up to this size are read whole before their first byte goes out, so that one that breaks
/// off can be asked of another replica.
constexpr std::size_t bufferedAnswer = 256U << 10U;
/// Share of a process's memory that its turns may take. The rest is for connections and answers.
constexpr int cacheShare = 8;

/// Clients leave a stream after a gap of two seconds, four objectives or eight event gaps,
/// whichever is longest. The end of a stream is held back for its durability no longer than that,
/// less what the way takes.
constexpr duration leastClientGap = seconds(2);
constexpr int objectivesInGap = 4;
constexpr int eventGapsInGap = 8;
constexpr duration endMargin = milliseconds(300);

/// Clients come back after this long when the store can't be reached. Outages last for seconds and
/// a program gives up after a few tries: with two seconds between them it outlives one of six.
constexpr duration storeComeBack = seconds(2);

/// How long a turn may wait for the store before its first send. Later it would miss its objective
/// by more than its program can make up.
constexpr duration storePatience = milliseconds(1500);

/// Share of its time that a request may wait for a place; beyond it, the answer could no longer
/// come in time, and the client does better to ask again.
constexpr double gatePatience = 0.4;

duration gateShare(duration left)
{
    return std::chrono::duration_cast<duration>(gatePatience * left);
}

duration clientGap(const route_rule &route)
{
    return std::max(
               {leastClientGap, objectivesInGap * route.objective, eventGapsInGap * route.eventGap})
        - endMargin;
}

http_limits limitsOf(const host_settings &settings, const client_limits &c)
{
    // Body time: a slow line of 1 Mbit/s carries the largest body of the default in half a minute.
    constexpr duration bodyTime = seconds(30);
    http_limits limits;
    limits.maxHeaderBytes = c.headerBytes;
    limits.maxBodyBytes = c.bodyBytes;
    limits.maxTotalBodyBytes = settings.memoryBytes / 4;
    limits.maxConnections = settings.fileDescriptors / 2;
    limits.requestTime = c.headerTime + bodyTime;
    limits.idleTime = c.idleTime;
    return limits;
}

ledger_settings ledgerSettings(const host_settings &s)
{
    return {s.rowBytes, s.storeSpansParts, static_cast<std::size_t>(s.memoryBytes / cacheShare)};
}

} // namespace

entry_service::entry_service(asio::io_context &context, const host_settings &settings,
                             entry_metrics &metrics)
    : m_settings(settings), m_metrics(metrics), m_executor(context.get_executor()),
      m_random(static_cast<std::uint_fast32_t>(stableHash(settings.name.value))),
      m_transport(std::make_shared<peer_transport>(m_executor, settings.storeAddress)),
      m_store(m_transport), m_ledger(m_store, ledgerSettings(settings)),
      m_board(settings.dataCentre, stableHash(settings.name.value)), m_sender(m_executor, m_board),
      m_server(m_executor, limitsOf(settings, {}),
               [this](const http_request &r, response_writer &w) { return serve(r, w); })
{ }

std::uint16_t entry_service::start()
{
    spawn(m_executor, "sweep", sweep());
    spawn(m_executor, "removeOldRows", removeOldRows());
    return m_server.listen(m_settings.clients);
}

void entry_service::announceClose()
{
    m_server.announceClose();
}

void entry_service::setRoutes(route_book_ptr routes)
{
    m_routes = std::move(routes);
    m_server.setLimits(limitsOf(m_settings, m_routes->limits()));
    for (const service_rule &service : m_routes->services()) {
        if (!service.engine)
            continue;
        m_board.setCacheTokens(service.name, service.engine->cacheTokens);
        m_gates[service.name];
    }
}

void entry_service::setReplicas(const std::vector<replica_entry> &listed)
{
    m_board.setReplicas(listed, runtime_clock::now());
}

void entry_service::setPeers(std::vector<endpoint> reachingStore, int alive)
{
    m_board.setDaemons(alive);
    m_daemons = alive;
    m_transport->setPeers(std::move(reachingStore));
}

awaitable<void> entry_service::removeOldRows()
{
    while (true) {
        co_await sleepFor(removalPause);
        co_await m_ledger.removeOldRows();
    }
}

awaitable<void> entry_service::sweep()
{
    while (true) {
        const time_point now = runtime_clock::now();
        m_sender.sweep(now);
        m_ledger.expire(now);
        for (auto &[name, gate] : m_gates) {
            gate.setShare(m_board.open(name, now), m_daemons);
            grantPlaces(gate);
        }
        co_await sleepFor(sweepPause);
    }
}

gate_ticket entry_service::ticketOf(const entry_call &call) const
{
    gate_ticket ticket;
    ticket.rank = call.route->priority;
    const duration said = call.request.programFinish.value_or(duration::max());
    ticket.slack = said;
    if (said > duration::zero())
        return ticket;
    const program_times times = m_ledger.timesOf(call.request.program);
    ticket.slack = times.left.value_or(duration::zero());
    // An answer within twice the program's time still earns something.
    const bool isLost = times.left && times.aim && *times.left + *times.aim < duration::zero();
    ticket.hope = isLost ? program_hope::Lost : program_hope::Late;
    return ticket;
}

void entry_service::grantPlaces(service_gate &gate)
{
    for (const std::uint64_t number : gate.take()) {
        const auto found = m_gateWaits.find(number);
        if (found == m_gateWaits.end())
            continue;
        found->second->granted = true;
        found->second->alarm.cancel();
    }
}

awaitable<bool> entry_service::enterGate(entry_call_ptr call)
{
    const auto gate = m_gates.find(call->service);
    if (gate == m_gates.end())
        co_return true;
    gate_ticket ticket = ticketOf(*call);
    ticket.number = ++m_lastTicket;
    if (gate->second.enter(ticket)) {
        call->isInsideGate = true;
        co_return true;
    }
    auto wait = std::make_shared<gate_wait>(m_executor);
    m_gateWaits[ticket.number] = wait;
    call->gateAlarm = &wait->alarm;
    const time_point now = runtime_clock::now();
    wait->alarm.expires_at(now + gateShare(call->deadline - now));
    boost::system::error_code code;
    co_await wait->alarm.async_wait(asio::redirect_error(use_awaitable, code));
    call->gateAlarm = nullptr;
    m_gateWaits.erase(ticket.number);
    gate->second.withdraw(ticket.number);
    call->isInsideGate = wait->granted;
    logDecision(wait->granted ? log_event::PlaceGranted : log_event::PlaceNotGranted,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"rank", std::int64_t(ticket.rank)},
                 {"hope", std::string(toName(ticket.hope))},
                 {"waiting", std::int64_t(gate->second.waiting())},
                 {"inside", std::int64_t(gate->second.inside())},
                 {"limit", gate->second.limit()},
                 {"inflation", gate->second.inflation()},
                 {"waited_ms", toMilliseconds(runtime_clock::now() - now)}});
    m_metrics.onPhase(call->route->name, request_phase::Place, runtime_clock::now() - now);
    if (call->clientLeft())
        leaveGate(*call);
    co_return wait->granted && !call->clientLeft();
}

void entry_service::leaveGate(entry_call &call)
{
    const auto gate = m_gates.find(call.service);
    if (!std::exchange(call.isInsideGate, false) || gate == m_gates.end())
        return;
    gate->second.leave();
    grantPlaces(gate->second);
}

std::string entry_service::pickService(const route_rule &route)
{
    double total = 0;
    for (const weighted_service &s : route.services)
        total += s.weight;
    double place = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const weighted_service &s : route.services) {
        place -= s.weight;
        if (place < 0)
            return s.service;
    }
    return route.services.back().service;
}

placement_request entry_service::wantedOf(const entry_call &call) const
{
    placement_request wanted;
    wanted.service = call.service;
    wanted.parts = call.request.promptParts;
    if (call.request.tokens)
        wanted.promptTokens = call.request.tokens->prompt;
    if (call.route->sessionAffinity)
        wanted.affinityKey = call.request.affinityKey;
    return wanted;
}

awaitable<void> entry_service::refuse(entry_call_ptr call, own_answer answer, std::string detail,
                                      response_writer &writer, duration retryAfter)
{
    logDecision(log_event::OwnAnswer,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"answer", std::string(toName(answer))},
                 {"detail", detail},
                 {"route", call->route ? call->route->name : std::string()},
                 {"sends", std::int64_t(call->sends)},
                 {"retry_after_ms",
                  answer == own_answer::Refused ? toMilliseconds(retryAfter) : std::int64_t(0)},
                 {"ms", toMilliseconds(runtime_clock::now() - call->arrivedAt)}});
    // What follows a colon are figures, which would make a series each.
    m_metrics.onAnswer(toName(answer), std::string_view(detail).substr(0, detail.find(':')));
    http_response response = encodeOwnAnswer(answer, detail, retryAfter);
    call->isOwnAnswer = true;
    co_await writer.write(std::move(response));
}

awaitable<void> entry_service::giveUp(entry_call_ptr call, send_failure failure,
                                      response_writer &writer)
{
    if (call->clientLeft() || call->begun)
        co_return;
    own_answer answer = own_answer::Refused;
    const bool inTime = runtime_clock::now() < call->deadline;
    // An idempotent request may run again whatever became of it, but 503 says that it never will.
    if (call->mayHaveRun)
        answer = inTime ? own_answer::Broken : own_answer::TimedOut;
    co_await refuse(call, answer, failure.detail, writer);
}

awaitable<void> entry_service::serve(const http_request &request, response_writer &writer)
{
    auto call = std::make_shared<entry_call>();
    call->arrivedAt = runtime_clock::now();
    auto decoded = decodeClientRequest(request);
    if (!decoded) {
        co_await refuse(call, own_answer::Malformed, decoded.error(), writer);
        co_return;
    }
    call->request = std::move(*decoded);
    call->routes = m_routes;
    if (!call->routes) {
        co_await refuse(call, own_answer::Refused, "no configuration yet", writer);
        co_return;
    }
    call->route = call->routes->find(call->request.hostname, request.path());
    if (!call->route || call->route->services.empty()) {
        co_await refuse(call, own_answer::NoRoute, "", writer);
        co_return;
    }
    if (call->request.id.empty()) {
        co_await refuse(call, own_answer::Malformed, "the request has no id", writer);
        co_return;
    }
    call->service = pickService(*call->route);
    const duration patience = call->request.patience.value_or(call->route->timeout);
    call->deadline = call->arrivedAt + std::min(patience, call->route->timeout);
    writer.onPeerGone([call] {
        call->cut = cut_reason::ClientLeft;
        call->cutOff(cut_reason::ClientLeft);
    });
    if (call->route->keepsHistory)
        co_await serveTurn(call, request, writer);
    else if (call->route->kind == route_kind::Stream)
        co_await serveStream(call, request, writer);
    else
        co_await servePlain(call, request, writer);
    leaveGate(*call);
    const duration whole = runtime_clock::now() - call->arrivedAt;
    m_metrics.onPhase(call->route->name, request_phase::Whole, whole);
    if (!call->isOwnAnswer)
        m_metrics.onAnswer("replica", call->clientLeft() ? "client_left" : "");
    logDecision(log_event::Answered,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"route", call->route->name},
                 {"config", std::int64_t(call->routes->version())},
                 {"sends", std::int64_t(call->sends)},
                 {"client_left", call->clientLeft()},
                 {"ms", toMilliseconds(runtime_clock::now() - call->arrivedAt)}});
}

awaitable<bool> entry_service::readBody(entry_call_ptr call, open_reply &reply, std::string &body)
{
    while (true) {
        const auto piece = co_await reply.connection->readSome(call->deadline);
        if (!piece)
            co_return false;
        if (piece->empty())
            co_return true;
        call->lastByteAt = runtime_clock::now();
        body += *piece;
        if (body.size() > bufferedAnswer)
            co_return true;
    }
}

namespace {

/// \brief Relays the rest of a large answer. \returns whether it came whole.
awaitable<bool> relayRest(entry_call_ptr call, open_reply &reply, std::string start,
                          response_writer &writer)
{
    header_list headers = replyHeaders(reply.head);
    call->begun = true;
    bool open = co_await writer.begin(reply.head.status, std::move(headers));
    std::string piece = std::move(start);
    while (open && !piece.empty()) {
        open = co_await writer.writeChunk(piece);
        if (!open)
            break;
        auto next = co_await reply.connection->readSome(call->deadline);
        if (!next)
            co_return false;
        piece = std::move(*next);
    }
    if (!open)
        co_return false;
    const bool ended = co_await writer.end();
    co_return ended;
}

} // namespace

awaitable<void> entry_service::servePlain(entry_call_ptr call, const http_request &request,
                                          response_writer &writer)
{
    placement_request wanted = wantedOf(*call);
    while (true) {
        std::string body = request.body;
        auto reply = co_await m_sender.open(call, wanted, request, std::move(body));
        if (!reply) {
            co_await giveUp(call, reply.error(), writer);
            co_return;
        }
        std::string answer;
        const bool whole = co_await readBody(call, *reply, answer);
        if (!whole) {
            m_sender.finish(*call, *reply,
                            call->clientLeft() ? send_end::Cancelled : send_end::Broken);
            ++call->sends;
            const bool again = call->route->kind == route_kind::Idempotent
                && call->sends < call->route->maxAttempts && !call->clientLeft()
                && runtime_clock::now() < call->deadline;
            if (call->cut == cut_reason::AttemptTimeOver)
                call->cut = cut_reason::None;
            if (again)
                continue;
            const send_failure broken{send_end::Broken, "the answer broke off"};
            co_await giveUp(call, broken, writer);
            co_return;
        }
        if (answer.size() > bufferedAnswer) {
            const bool relayed = co_await relayRest(call, *reply, std::move(answer), writer);
            m_sender.finish(*call, *reply, relayed ? send_end::Answered : send_end::Broken);
            co_return;
        }
        m_sender.finish(*call, *reply, send_end::Answered);
        http_response response{reply->head.status, replyHeaders(reply->head), std::move(answer)};
        co_await writer.write(std::move(response));
        co_return;
    }
}

awaitable<void> entry_service::relayFailure(entry_call_ptr call, open_reply reply,
                                            response_writer &writer)
{
    std::string body;
    const bool whole = co_await readBody(call, reply, body);
    m_sender.finish(*call, reply, whole ? send_end::Answered : send_end::Broken);
    if (!whole) {
        const send_failure broken{send_end::Broken, "the answer broke off"};
        co_await giveUp(call, broken, writer);
        co_return;
    }
    http_response response{reply.head.status, replyHeaders(reply.head), std::move(body)};
    co_await writer.write(std::move(response));
}

awaitable<entry_service::stream_end>
entry_service::relayStream(entry_call_ptr call, open_reply &reply, response_writer &writer)
{
    stream_end result;
    std::optional<time_point> firstAt;
    sse_reader events;
    header_list headers = replyHeaders(reply.head);
    call->begun = true;
    bool open = co_await writer.begin(reply.head.status, std::move(headers));
    while (open) {
        const auto piece = co_await reply.connection->readSome(call->deadline);
        if (!piece)
            break;
        if (piece->empty()) {
            result.isWhole = true;
            break;
        }
        call->lastByteAt = runtime_clock::now();
        if (!firstAt) {
            firstAt = call->lastByteAt;
            m_metrics.onPhase(call->route->name, request_phase::FirstByte, *firstAt - call->sentAt);
        }
        m_board.onHeard(reply.where.replica.id, call->lastByteAt);
        events.feed(*piece);
        while (auto data = events.next()) {
            ++result.events;
            result.output += *data;
            result.output += '\n';
        }
        open = co_await writer.writeChunk(*piece);
    }
    constexpr std::int64_t enoughEvents = 4;
    const auto gate = m_gates.find(call->service);
    if (gate != m_gates.end() && firstAt && result.events >= enoughEvents) {
        const std::chrono::duration<double, std::milli> span = call->lastByteAt - *firstAt;
        gate->second.onPace(span.count() / double(result.events - 1), call->lastByteAt);
    }
    if (firstAt)
        m_metrics.onPhase(call->route->name, request_phase::Events, call->lastByteAt - *firstAt);
    send_end end = send_end::Answered;
    if (!result.isWhole) {
        const bool ours = call->clientLeft() || !open || call->cut == cut_reason::TimeOver;
        end = ours                                   ? send_end::Cancelled
            : call->cut == cut_reason::ReplicaSilent ? send_end::Silent
                                                     : send_end::Broken;
    }
    m_sender.finish(*call, reply, end);
    leaveGate(*call);
    co_return result;
}

awaitable<void> entry_service::serveStream(entry_call_ptr call, const http_request &request,
                                           response_writer &writer)
{
    const bool hasPlace = co_await enterGate(call);
    if (!hasPlace) {
        if (!call->clientLeft())
            co_await refuse(call, own_answer::Refused, "the engines are busy", writer);
        co_return;
    }
    placement_request wanted = wantedOf(*call);
    std::string body = request.body;
    auto reply = co_await m_sender.open(call, wanted, request, std::move(body));
    if (!reply) {
        co_await giveUp(call, reply.error(), writer);
        co_return;
    }
    if (reply->head.status != 200) {
        co_await relayFailure(call, std::move(*reply), writer);
        co_return;
    }
    const stream_end end = co_await relayStream(call, *reply, writer);
    if (end.isWhole)
        co_await writer.end();
}

namespace {

own_answer answerFor(turn_refusal refusal)
{
    switch (refusal) {
    case turn_refusal::NoSuchTurn:
        return own_answer::NoSuchTurn;
    case turn_refusal::BudgetSpent:
        return own_answer::BudgetSpent;
    case turn_refusal::TooLarge:
        return own_answer::TooLarge;
    case turn_refusal::StoreUnavailable:
        break;
    }
    return own_answer::Refused;
}

turn_claim claimOf(const client_request &r, const program_id &program)
{
    const std::int64_t budget = r.tokenBudget.value_or(-1);
    const std::int64_t most = r.tokens ? r.tokens->mostOutput : std::max<std::int64_t>(0, budget);
    return {{r.id}, program, budget, most, r.programFinish, r.previousTurn.empty()};
}

} // namespace

std::string entry_service::detailOf(turn_refusal refusal, const turn_claim &claim) const
{
    const account_view account = m_ledger.accountView(claim.program);
    return fmt::format("{}: {} of {} tokens committed at row version {}, {} wanted",
                       toName(refusal), account.committed, claim.budget, account.version,
                       claim.most);
}

awaitable<void> entry_service::serveTurn(entry_call_ptr call, const http_request &request,
                                         response_writer &writer)
{
    const client_request &r = call->request;
    const time_point storeDeadline = std::min(call->deadline, runtime_clock::now() + storePatience);
    turn_ptr previous;
    if (!r.previousTurn.empty()) {
        auto loaded = co_await m_ledger.load(r.program, r.previousTurn, storeDeadline);
        if (!loaded) {
            co_await refuse(call, answerFor(loaded.error()), std::string(toName(loaded.error())),
                            writer, storeComeBack);
            co_return;
        }
        previous = std::move(*loaded);
    }
    program_id program = r.program;
    if (program.empty())
        program = previous ? previous->program : program_id{r.id};
    const turn_claim claim = claimOf(r, program);
    const bool hasBudget = r.tokenBudget.has_value();
    if (hasBudget) {
        turn_claim copy = claim;
        const auto reserved = co_await m_ledger.reserve(std::move(copy), storeDeadline);
        if (!reserved) {
            if (reserved.error() == turn_refusal::StoreUnavailable)
                spawn(m_executor, "settle", m_ledger.settleBroken(claim, 0));
            co_await refuse(call, answerFor(reserved.error()), detailOf(reserved.error(), claim),
                            writer, storeComeBack);
            co_return;
        }
    }
    const bool hasPlace = co_await enterGate(call);
    if (!hasPlace) {
        if (hasBudget)
            spawn(m_executor, "settle", m_ledger.settleBroken(claim, 0));
        if (!call->clientLeft())
            co_await refuse(call, own_answer::Refused, "the engines are busy", writer);
        co_return;
    }
    m_metrics.onPhase(call->route->name, request_phase::Store,
                      runtime_clock::now() - call->arrivedAt);
    if (hasBudget) {
        const account_view account = m_ledger.accountView(program);
        logDecision(log_event::TokensHeld,
                    {{"request", r.id},
                     {"program", program.value},
                     {"most", claim.most},
                     {"budget", claim.budget},
                     {"committed", account.committed},
                     {"row_version", std::int64_t(account.version)}});
    }
    placement_request wanted = wantedOf(*call);
    if (previous) {
        wanted.lastReplica = previous->replica;
        wanted.lastTokens = previous->tokens;
    }
    std::string prompt = buildPrompt(previous, request.body);
    auto reply = co_await m_sender.open(call, wanted, request, std::move(prompt));
    if (!reply || reply->head.status != 200) {
        // No event reached the client, so nothing was spent.
        if (hasBudget)
            spawn(m_executor, "settle", m_ledger.settleBroken(claim, 0));
        if (!reply)
            co_await giveUp(call, reply.error(), writer);
        else
            co_await relayFailure(call, std::move(*reply), writer);
        co_return;
    }
    const service_rule *service = call->routes->service(call->service);
    const std::int64_t perEvent = service && service->engine ? service->engine->tokensPerEvent : 1;
    const upstream_id replica = reply->where.replica.id;
    stream_end end = co_await relayStream(call, *reply, writer);
    if (!end.isWhole) {
        // One event more may have reached the client in part.
        const std::int64_t used = std::min(claim.most, (end.events + 1) * perEvent);
        if (hasBudget)
            spawn(m_executor, "settle", m_ledger.settleBroken(claim, used));
        logDecision(log_event::TurnBrokeOff,
                    {{"request", r.id},
                     {"program", r.program.value},
                     {"replica", replica.value},
                     {"cut", std::string(toName(call->cut))},
                     {"events", end.events}});
        co_return;
    }
    auto done = std::make_shared<turn>();
    done->id = {r.id};
    done->program = program;
    done->previous = previous;
    done->input = request.body;
    done->output = std::move(end.output);
    done->replica = replica;
    done->tokens = (r.tokens ? r.tokens->prompt : 0) + end.events * perEvent;
    const time_point commitStart = runtime_clock::now();
    const auto committed = co_await m_ledger.commit(
        done, end.events * perEvent, call->route->retention, commitStart + clientGap(*call->route));
    m_metrics.onPhase(call->route->name, request_phase::Durable,
                      runtime_clock::now() - commitStart);
    logDecision(committed ? log_event::TurnDurable : log_event::TurnNotDurable,
                {{"request", r.id},
                 {"program", r.program.value},
                 {"events", end.events},
                 {"waited_ms", toMilliseconds(runtime_clock::now() - commitStart)}});
    if (committed)
        co_await writer.end();
}

} // namespace azurehill
