#include "entry/turn_handler.h"

#include "core/log_event.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// Clients abandon a stream after a gap of two seconds, four latency objectives or eight event
/// gaps, whichever is longest. The end of a stream is withheld until its turn is durable, but for
/// no longer than that gap, less a margin for the network.
constexpr duration minClientStallTimeout = seconds(2);
constexpr int objectivesPerStallTimeout = 4;
constexpr int eventGapsPerStallTimeout = 8;
constexpr duration streamEndMargin = milliseconds(300);

/// Retry-After while the store can't be reached. Outages last for seconds and a program gives up
/// after a few attempts: with two seconds between them it survives an outage of six seconds.
constexpr duration storeRetryAfter = seconds(2);

/// Cause of a refusal for want of memory.
constexpr std::string_view memoryShortDetail = "the daemon holds too much for its connections";

/// Maximum time that a turn waits for the store before its first send. After a longer wait it would
/// miss its objective by more than its program can make up.
constexpr duration storeWaitLimit = milliseconds(1500);

duration clientStallTimeout(const route_rule &route)
{
    return std::max({minClientStallTimeout, objectivesPerStallTimeout * route.latencyObjective,
                     eventGapsPerStallTimeout * route.maxEventGap})
        - streamEndMargin;
}

/// \returns how long the account of the program of \p call is needed from now. The answer ends by
/// the call's deadline, and its end is withheld until the turn is durable.
duration accountRetention(const entry_call &call)
{
    const duration timeLeft = std::max(duration::zero(), call.deadline - runtime_clock::now());
    return timeLeft + clientStallTimeout(*call.route) + call.route->accountRetention();
}

local_reply localReplyFor(turn_refusal refusal)
{
    switch (refusal) {
    case turn_refusal::NoSuchTurn:
        return local_reply::NoSuchTurn;
    case turn_refusal::BudgetSpent:
        return local_reply::BudgetExhausted;
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

/// \returns the turn that precedes this one in \p history, or null.
turn_ptr previousIn(const turn_history &history)
{
    const auto *stored = std::get_if<stored_history>(&history);
    return stored ? stored->previous : nullptr;
}

/// \returns the turn's claim on the token budget of its program. A request that names no program
/// belongs to the program of the previous turn, or starts a program of its own.
turn_claim claimOf(const client_request &r, const turn_history &history)
{
    const turn_ptr previous = previousIn(history);
    program_id program = r.program;
    if (program.empty())
        program = previous ? previous->program : program_id{r.id};
    const std::int64_t budget = r.tokenBudget.value_or(-1);
    const std::int64_t maxTokens
        = r.tokens ? r.tokens->maxOutputTokens : std::max<std::int64_t>(0, budget);
    return {{r.id}, program, budget, maxTokens, r.programTimeLeft, r.previousTurn.empty()};
}

} // namespace

turn_handler::turn_handler(asio::any_io_executor executor, turn_ledger &ledger,
                           engine_admission &admission, upstream_sender &sender,
                           response_relay &relay, local_reply_writer &localReplies,
                           slot_exchange &slots, entry_metrics &metrics)
    : m_executor(std::move(executor)), m_ledger(ledger), m_engineAdmission(admission),
      m_sender(sender), m_relay(relay), m_localReplies(localReplies), m_metrics(metrics),
      m_dispatched(m_executor, slots, admission, sender, relay, localReplies, metrics)
{ }

awaitable<void> turn_handler::serve(entry_call_ptr call, const http_request &request,
                                    response_writer &writer)
{
    if (m_dispatched.handles(*call)) {
        const bool isServed = co_await m_dispatched.serve(call, request, writer);
        if (isServed)
            co_return;
    }
    auto context = std::make_shared<turn_context>();
    context->call = call;
    if (!call->route->keepsHistory)
        context->history = client_history();
    context->storeDeadline = std::min(call->deadline, runtime_clock::now() + storeWaitLimit);
    const bool isLoaded = co_await loadHistory(context, writer);
    if (!isLoaded)
        co_return;
    context->claim = claimOf(call->request, context->history);
    context->claim.retention = accountRetention(*call);
    const bool isReserved = co_await reserveTurnTokens(context, writer);
    if (!isReserved)
        co_return;
    call->isLaterTurn = !call->request.previousTurn.empty()
        || m_ledger.accountView(context->claim.program).committed > context->claim.maxOutputTokens;
    const bool isAdmitted = co_await awaitAdmission(context, writer);
    if (!isAdmitted)
        co_return;
    auto reply = co_await send(context, request, writer);
    if (!reply)
        co_return;
    std::string prompt;
    if (previousIn(context->history) && call->route->isResumable)
        prompt = buildPrompt(previousIn(context->history), request.body);
    stream_result stream = co_await m_relay.relayWithResumes(
        call, *reply, context->placementRequest, request,
        prompt.empty() ? std::string_view(request.body) : prompt, writer);
    m_engineAdmission.release(*call);
    if (stream.isComplete)
        co_await finish(context, request, reply->where, std::move(stream), writer);
    else
        chargeIncompleteTurn(*context, stream);
}

awaitable<void> turn_handler::finish(turn_context_ptr context, const http_request &request,
                                     const placement &where, stream_result stream,
                                     response_writer &writer)
{
    const entry_call_ptr call = context->call;
    const std::int64_t used = stream.events * tokensPerEvent(*call);
    if (std::holds_alternative<client_history>(context->history)) {
        if (!m_ledger.mayKeepHold(context->claim))
            settle(*context, used);
        co_await writer.end();
        co_return;
    }
    auto finished = std::make_shared<turn>();
    finished->replica = where.replica.incarnation;
    finished->id = context->claim.id;
    finished->program = context->claim.program;
    finished->account = call->accountName();
    finished->route = call->route->name;
    finished->previous = previousIn(context->history);
    finished->input = request.body;
    finished->output = std::move(stream.output);
    finished->tokens = (call->request.tokens ? call->request.tokens->prompt : 0) + used;
    co_await makeDurable(context, finished, used, stream.events, writer);
}

struct turn_handler::history_loader
{
    turn_handler &exchange;
    turn_context_ptr context;
    response_writer &writer;

    awaitable<bool> operator()(const stored_history &) const
    {
        return exchange.loadPrevious(context, writer);
    }
    awaitable<bool> operator()(const client_history &) const
    {
        return exchange.loadAccount(context);
    }
};

awaitable<bool> turn_handler::loadHistory(turn_context_ptr context, response_writer &writer)
{
    awaitable<bool> loading = std::visit(history_loader{*this, context, writer}, context->history);
    co_return co_await std::move(loading);
}

awaitable<bool> turn_handler::loadAccount(turn_context_ptr context)
{
    const client_request &r = context->call->request;
    if (!r.tokenBudget || r.program.empty())
        co_return true;
    program_id program = r.program;
    // A reservation based on a stale account row fails at first, and so does everything in the same
    // store call.
    co_await m_ledger.refresh(std::move(program), context->storeDeadline);
    co_return true;
}

awaitable<bool> turn_handler::loadPrevious(turn_context_ptr context, response_writer &writer)
{
    const client_request &r = context->call->request;
    if (r.previousTurn.empty())
        co_return true;
    account_id account = context->call->accountName();
    auto loaded = co_await m_ledger.load(std::move(account), r.program, r.previousTurn,
                                         context->storeDeadline);
    if (!loaded) {
        std::string detail(toName(loaded.error()));
        co_await m_localReplies.write(context->call, localReplyFor(loaded.error()),
                                      std::move(detail), writer, storeRetryAfter);
        co_return false;
    }
    context->history = stored_history{std::move(*loaded)};
    co_return true;
}

awaitable<bool> turn_handler::reserveTurnTokens(turn_context_ptr context, response_writer &writer)
{
    if (!context->call->request.tokenBudget)
        co_return true;
    turn_claim claim = context->claim;
    const auto reserved = co_await m_ledger.reserve(std::move(claim), context->storeDeadline);
    if (reserved)
        co_return true;
    // A reservation with unknown outcome may still reach the store, so it is settled. One that
    // certainly failed is not: during an outage of seconds, that would add one write per refusal
    // (3,074 refusals on 87 hosts) while the store is needed by clients that retry.
    if (reserved.error() == turn_refusal::InDoubt)
        settle(*context, 0);
    // A dispatcher that can't be reached at present may hold tokens that no turn has used.
    const std::vector<turn_id> holds = m_ledger.holdsOf(context->claim.program);
    const bool mayBeUnused = reserved.error() == turn_refusal::BudgetSpent
        && std::any_of(holds.begin(), holds.end(), budget_holder::isSharedHold);
    const turn_refusal reason = mayBeUnused ? turn_refusal::StoreUnavailable : reserved.error();
    std::string detail = detailOf(reason, context->claim);
    co_await m_localReplies.write(context->call, localReplyFor(reason), std::move(detail), writer,
                                  storeRetryAfter);
    co_return false;
}

awaitable<bool> turn_handler::awaitAdmission(turn_context_ptr context, response_writer &writer)
{
    const entry_call_ptr call = context->call;
    const program_timing times = m_ledger.timingOf(call->request.program);
    const bool isAdmitted = co_await m_engineAdmission.admit(call, times);
    if (isAdmitted) {
        m_metrics.onPhase(call->route->name, request_phase::Store,
                          runtime_clock::now() - call->arrivedAt);
        logReservation(*context);
        co_return true;
    }
    settle(*context, 0);
    if (!call->clientDisconnected()) {
        std::string detail(enginesBusy);
        co_await m_localReplies.write(call, local_reply::Refused, std::move(detail), writer);
    }
    co_return false;
}

awaitable<std::optional<open_reply>>
turn_handler::send(turn_context_ptr context, const http_request &request, response_writer &writer)
{
    placement_request &placementRequest = context->placementRequest;
    placementRequest = placementRequestFor(*context->call);
    const turn_ptr previous = previousIn(context->history);
    if (std::holds_alternative<client_history>(context->history)) {
        placementRequest.session = context->call->request.session;
        const std::int64_t committed = m_ledger.accountView(context->claim.program).committed;
        placementRequest.turnsBefore
            = committed / std::max<std::int64_t>(1, context->claim.maxOutputTokens) - 1;
        placementRequest.turnsBefore = std::max<std::int64_t>(0, placementRequest.turnsBefore);
    }
    if (previous) {
        placementRequest.lastReplica = previous->replica;
        placementRequest.lastTokens = previous->tokens;
    }
    std::string prompt;
    if (previous)
        prompt = buildPrompt(previous, request.body);
    const std::string_view body = previous ? std::string_view(prompt) : request.body;
    // The prompt is copied when it is sent.
    if (!context->call->memory.tryHold(held_part::Prompt, 2 * prompt.size())) {
        settle(*context, 0);
        std::string detail(memoryShortDetail);
        co_await m_localReplies.write(context->call, local_reply::Refused, std::move(detail),
                                      writer);
        co_return std::nullopt;
    }
    auto reply = co_await m_sender.open(context->call, placementRequest, request, body);
    if (reply && reply->head.status == 200)
        co_return std::move(*reply);
    // No event reached the client, so no tokens were spent.
    settle(*context, 0);
    if (reply) {
        co_await m_relay.relayNonStream(context->call, std::move(*reply), writer);
    } else {
        send_failure failure = std::move(reply.error());
        co_await m_localReplies.replyWithFailure(context->call, std::move(failure), writer);
    }
    co_return std::nullopt;
}

void turn_handler::chargeIncompleteTurn(const turn_context &context, const stream_result &stream)
{
    const entry_call &call = *context.call;
    // One further event may have reached the client in part.
    settle(context,
           std::min(context.claim.maxOutputTokens, (stream.events + 1) * tokensPerEvent(call)));
    logDecision(log_event::TurnInterrupted,
                {{"request", call.request.id},
                 {"program", call.request.program.value},
                 {"replica", call.replica.id.value},
                 {"cut", std::string(toName(call.abortReason))},
                 {"events", stream.events}});
}

awaitable<void> turn_handler::makeDurable(turn_context_ptr context, turn_ptr finished,
                                          std::int64_t used, std::int64_t events,
                                          response_writer &writer)
{
    const entry_call_ptr call = context->call;
    const time_point began = runtime_clock::now();
    const auto committed = co_await m_ledger.commit(finished, used, call->route->retention,
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

void turn_handler::settle(const turn_context &context, std::int64_t used)
{
    if (context.call->request.tokenBudget)
        spawn(m_executor, "settle", settleHold(context.claim, used));
}

awaitable<void> turn_handler::settleHold(turn_claim claim, std::int64_t used)
{
    ++m_settlesInProgress;
    co_await m_ledger.settleHold(std::move(claim), used);
    --m_settlesInProgress;
}

void turn_handler::logReservation(const turn_context &context) const
{
    if (!context.call->request.tokenBudget)
        return;
    const account_view account = m_ledger.accountView(context.claim.program);
    logDecision(log_event::TokensReserved,
                {{"request", context.call->request.id},
                 {"program", context.claim.program.value},
                 {"most", context.claim.maxOutputTokens},
                 {"budget", context.claim.budgetTokens},
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
