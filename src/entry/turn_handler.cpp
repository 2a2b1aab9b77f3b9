#include "entry/turn_handler.h"

#include "core/log_event.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// Clients leave a stream after a gap of two seconds, four objectives or eight event gaps,
/// whichever is longest. The end of a stream is held back for its durability no longer than that,
/// less what the way takes.
constexpr duration minClientStallTimeout = seconds(2);
constexpr int objectivesPerStallTimeout = 4;
constexpr int eventGapsPerStallTimeout = 8;
constexpr duration streamEndMargin = milliseconds(300);

/// Sends that may follow the first one of a stream to go on with it.
constexpr int maxResumes = 3;

/// Clients come back after this long when the store can't be reached. Outages last for seconds and
/// a program gives up after a few tries: with two seconds between them it outlives one of six.
constexpr duration storeRetryAfter = seconds(2);

/// How long a turn may wait for the store before its first send. Later it would miss its objective
/// by more than its program can make up.
constexpr duration storeWaitLimit = milliseconds(1500);

duration clientStallTimeout(const route_rule &route)
{
    return std::max({minClientStallTimeout, objectivesPerStallTimeout * route.objective,
                     eventGapsPerStallTimeout * route.maxEventGap})
        - streamEndMargin;
}

local_reply localReplyFor(turn_refusal refusal)
{
    switch (refusal) {
    case turn_refusal::NoSuchTurn:
        return local_reply::NoSuchTurn;
    case turn_refusal::BudgetSpent:
        return local_reply::BudgetSpent;
    case turn_refusal::TooLarge:
        return local_reply::TooLarge;
    case turn_refusal::StoreUnavailable:
    case turn_refusal::ReadsLag:
    case turn_refusal::TurnUnreadable:
    case turn_refusal::InDoubt:
        break;
    }
    return local_reply::Refused;
}

/// \returns the turn that \p history shows before this one, or null.
turn_ptr previousIn(const turn_history &history)
{
    const auto *kept = std::get_if<stored_history>(&history);
    return kept ? kept->previous : nullptr;
}

/// \returns what the turn asks of its program's budget. A request that names no program belongs to
/// the program of the turn before it, or begins one of its own.
turn_claim claimOf(const client_request &r, const turn_history &history)
{
    const turn_ptr previous = previousIn(history);
    program_id program = r.program;
    if (program.empty())
        program = previous ? previous->program : program_id{r.id};
    const std::int64_t budget = r.tokenBudget.value_or(-1);
    const std::int64_t most
        = r.tokens ? r.tokens->maxOutputTokens : std::max<std::int64_t>(0, budget);
    return {{r.id}, program, budget, most, r.programTimeLeft, r.previousTurn.empty()};
}

/// \returns whether a replica may be asked for the rest of \p stream.
bool mayResume(const entry_call &call, const stream_result &stream)
{
    const bool isCutByClient = call.clientDisconnected() || !stream.isOpen;
    const bool isTimeOver
        = call.cut == abort_reason::DeadlineExceeded || runtime_clock::now() >= call.deadline;
    const bool isPlaceKnown = stream.events == 0 || !call.lastEventId.empty();
    return call.route->isResumable && isPlaceKnown && !stream.isWhole && !isCutByClient
        && !isTimeOver;
}

std::int64_t tokensPerEvent(const entry_call &call)
{
    const service_rule *service = call.routes->service(call.service);
    return service && service->engine ? service->engine->tokensPerEvent : 1;
}

} // namespace

turn_handler::turn_handler(asio::any_io_executor executor, turn_ledger &ledger,
                           engine_admission &places, upstream_sender &sender, response_relay &relay,
                           local_reply_writer &answers, entry_metrics &metrics)
    : m_executor(std::move(executor)), m_ledger(ledger), m_places(places), m_sender(sender),
      m_relay(relay), m_answers(answers), m_metrics(metrics)
{ }

awaitable<void> turn_handler::serve(entry_call_ptr call, const http_request &request,
                                    response_writer &writer)
{
    auto work = std::make_shared<turn_context>();
    work->call = call;
    if (!call->route->keepsHistory)
        work->history = client_history();
    work->storeDeadline = std::min(call->deadline, runtime_clock::now() + storeWaitLimit);
    const bool loaded = co_await loadHistory(work, writer);
    if (!loaded)
        co_return;
    work->claim = claimOf(call->request, work->history);
    if (!call->route->keepsHistory)
        work->claim.retention = call->route->retention;
    const bool held = co_await reserveTurnTokens(work, writer);
    if (!held)
        co_return;
    call->isLaterTurn = !call->request.previousTurn.empty()
        || m_ledger.accountView(work->claim.program).committed > work->claim.maxOutputTokens;
    const bool placed = co_await awaitAdmission(work, writer);
    if (!placed)
        co_return;
    auto reply = co_await send(work, request, writer);
    if (!reply)
        co_return;
    stream_result end = co_await relay(work, *reply, request, writer);
    m_places.leave(*call);
    if (end.isWhole)
        co_await finish(work, request, reply->where, std::move(end), writer);
    else
        chargeIncompleteTurn(*work, end);
}

awaitable<stream_result> turn_handler::relay(turn_context_ptr work, open_reply &reply,
                                             const http_request &request, response_writer &writer)
{
    const entry_call_ptr call = work->call;
    stream_result stream = co_await m_relay.relayStream(call, reply, writer);
    for (int i = 0; i < maxResumes && mayResume(*call, stream); ++i) {
        std::string prompt = buildPrompt(previousIn(work->history), request.body);
        auto next
            = co_await m_sender.resume(call, work->wanted, reply.where, request, std::move(prompt));
        if (!next)
            break;
        reply = std::move(*next);
        if (reply.head.status != 200) {
            m_sender.finish(*call, reply, send_outcome::Answered);
            break;
        }
        co_await m_relay.relayContinuation(call, reply, stream, writer);
    }
    co_return stream;
}

awaitable<void> turn_handler::finish(turn_context_ptr work, const http_request &request,
                                     const placement &where, stream_result end,
                                     response_writer &writer)
{
    const entry_call_ptr call = work->call;
    const std::int64_t used = end.events * tokensPerEvent(*call);
    if (std::holds_alternative<client_history>(work->history)) {
        if (!m_ledger.mayKeepHold(work->claim))
            settle(*work, used);
        co_await writer.end();
        co_return;
    }
    auto done = std::make_shared<turn>();
    done->replica = where.replica.incarnation;
    done->id = work->claim.id;
    done->program = work->claim.program;
    done->account = call->accountName();
    done->previous = previousIn(work->history);
    done->input = request.body;
    done->output = std::move(end.output);
    done->tokens = (call->request.tokens ? call->request.tokens->prompt : 0) + used;
    co_await makeDurable(work, done, used, end.events, writer);
}

struct turn_handler::history_loader
{
    turn_handler &exchange;
    turn_context_ptr work;
    response_writer &writer;

    awaitable<bool> operator()(const stored_history &) const
    {
        return exchange.loadPrevious(work, writer);
    }
    awaitable<bool> operator()(const client_history &) const { return exchange.loadAccount(work); }
};

awaitable<bool> turn_handler::loadHistory(turn_context_ptr work, response_writer &writer)
{
    awaitable<bool> loading = std::visit(history_loader{*this, work, writer}, work->history);
    co_return co_await std::move(loading);
}

awaitable<bool> turn_handler::loadAccount(turn_context_ptr work)
{
    const client_request &r = work->call->request;
    if (!r.tokenBudget || r.program.empty())
        co_return true;
    program_id program = r.program;
    // A hold that begins from an old account fails at first, and with it all that shares its call.
    co_await m_ledger.refresh(std::move(program), work->storeDeadline);
    co_return true;
}

awaitable<bool> turn_handler::loadPrevious(turn_context_ptr work, response_writer &writer)
{
    const client_request &r = work->call->request;
    if (r.previousTurn.empty())
        co_return true;
    account_id asker = work->call->accountName();
    auto loaded
        = co_await m_ledger.load(std::move(asker), r.program, r.previousTurn, work->storeDeadline);
    if (!loaded) {
        std::string detail(toName(loaded.error()));
        co_await m_answers.write(work->call, localReplyFor(loaded.error()), std::move(detail),
                                 writer, storeRetryAfter);
        co_return false;
    }
    work->history = stored_history{std::move(*loaded)};
    co_return true;
}

awaitable<bool> turn_handler::reserveTurnTokens(turn_context_ptr work, response_writer &writer)
{
    if (!work->call->request.tokenBudget)
        co_return true;
    turn_claim claim = work->claim;
    const auto reserved = co_await m_ledger.reserve(std::move(claim), work->storeDeadline);
    if (reserved)
        co_return true;
    // The hold may be on its way to the store all the same. What certainly was not held is not
    // settled: in an outage of seconds that would be a write for each refusal (3,074 on 87 hosts,
    // by their logs), all of them made while those who come back need the store.
    if (reserved.error() == turn_refusal::InDoubt)
        settle(*work, 0);
    std::string detail = detailOf(reserved.error(), work->claim);
    co_await m_answers.write(work->call, localReplyFor(reserved.error()), std::move(detail), writer,
                             storeRetryAfter);
    co_return false;
}

awaitable<bool> turn_handler::awaitAdmission(turn_context_ptr work, response_writer &writer)
{
    const entry_call_ptr call = work->call;
    const program_timing times = m_ledger.timingOf(call->request.program);
    const bool hasPlace = co_await m_places.enter(call, times);
    if (hasPlace) {
        m_metrics.onPhase(call->route->name, request_phase::Store,
                          runtime_clock::now() - call->arrivedAt);
        logReservation(*work);
        co_return true;
    }
    settle(*work, 0);
    if (!call->clientDisconnected()) {
        std::string detail(enginesBusy);
        co_await m_answers.write(call, local_reply::Refused, std::move(detail), writer);
    }
    co_return false;
}

awaitable<std::optional<open_reply>>
turn_handler::send(turn_context_ptr work, const http_request &request, response_writer &writer)
{
    placement_request &wanted = work->wanted;
    wanted = placementRequestFor(*work->call);
    const turn_ptr previous = previousIn(work->history);
    if (std::holds_alternative<client_history>(work->history)) {
        wanted.session = work->call->request.session;
        const std::int64_t committed = m_ledger.accountView(work->claim.program).committed;
        wanted.turnsBefore = committed / std::max<std::int64_t>(1, work->claim.maxOutputTokens) - 1;
        wanted.turnsBefore = std::max<std::int64_t>(0, wanted.turnsBefore);
    }
    if (previous) {
        wanted.lastReplica = previous->replica;
        wanted.lastTokens = previous->tokens;
    }
    std::string prompt = buildPrompt(previous, request.body);
    auto reply = co_await m_sender.open(work->call, wanted, request, std::move(prompt));
    if (reply && reply->head.status == 200)
        co_return std::move(*reply);
    // No event reached the client, so nothing was spent.
    settle(*work, 0);
    if (reply) {
        co_await m_relay.relayNonStream(work->call, std::move(*reply), writer);
    } else {
        send_failure failure = std::move(reply.error());
        co_await m_answers.giveUp(work->call, std::move(failure), writer);
    }
    co_return std::nullopt;
}

void turn_handler::chargeIncompleteTurn(const turn_context &work, const stream_result &end)
{
    const entry_call &call = *work.call;
    // One event more may have reached the client in part.
    settle(work, std::min(work.claim.maxOutputTokens, (end.events + 1) * tokensPerEvent(call)));
    logDecision(log_event::TurnInterrupted,
                {{"request", call.request.id},
                 {"program", call.request.program.value},
                 {"replica", call.replica.id.value},
                 {"cut", std::string(toName(call.cut))},
                 {"events", end.events}});
}

awaitable<void> turn_handler::makeDurable(turn_context_ptr work, turn_ptr done, std::int64_t used,
                                          std::int64_t events, response_writer &writer)
{
    const entry_call_ptr call = work->call;
    const time_point began = runtime_clock::now();
    const auto committed = co_await m_ledger.commit(done, used, call->route->retention,
                                                    began + clientStallTimeout(*call->route));
    const duration waited = runtime_clock::now() - began;
    m_metrics.onPhase(call->route->name, request_phase::Durable, waited);
    logDecision(committed ? log_event::TurnDurable : log_event::TurnNotDurable,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"events", events},
                 {"waited_ms", toMilliseconds(waited)}});
    if (committed)
        co_await writer.end();
}

void turn_handler::settle(const turn_context &work, std::int64_t used)
{
    if (work.call->request.tokenBudget)
        spawn(m_executor, "settle", m_ledger.settleHold(work.claim, used));
}

void turn_handler::logReservation(const turn_context &work) const
{
    if (!work.call->request.tokenBudget)
        return;
    const account_view account = m_ledger.accountView(work.claim.program);
    logDecision(log_event::TokensReserved,
                {{"request", work.call->request.id},
                 {"program", work.claim.program.value},
                 {"most", work.claim.maxOutputTokens},
                 {"budget", work.claim.budgetTokens},
                 {"committed", account.committed},
                 {"row_version", std::int64_t(account.version)}});
}

std::string turn_handler::detailOf(turn_refusal refusal, const turn_claim &claim) const
{
    const account_view account = m_ledger.accountView(claim.program);
    return fmt::format("{}: {} of {} tokens committed at row version {}, {} wanted",
                       toName(refusal), account.committed, claim.budgetTokens, account.version,
                       claim.maxOutputTokens);
}

} // namespace azurehill
