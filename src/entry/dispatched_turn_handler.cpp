#include "entry/dispatched_turn_handler.h"

#include "core/log_event.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Slots that are requested for one call while replicas certainly do not run it.
constexpr int maxSlots = 3;

/// \brief Visitor that names the result of a request for a slot.
struct result_name
{
    std::string_view operator()(const held_slot &) const { return "granted"; }
    std::string_view operator()(const slot_refusal &refusal) const
    {
        return toName(refusal.reason);
    }
    std::string_view operator()(const dispatcher_unreachable &) const { return "unreachable"; }
};

slot_request slotRequestOf(const entry_call &call)
{
    const client_request &client = call.request;
    slot_request request;
    request.service = call.service;
    request.route = call.route->name;
    request.account = call.accountName();
    if (call.account && call.account->quota && call.account->quota->perSecond > 0)
        request.accountWeight = call.account->quota->perSecond;
    request.program = client.program.empty() ? program_id{client.id} : client.program;
    request.session = client.session;
    request.requestId = client.id;
    request.rank = call.rank.order;
    request.timeToFinish = client.programTimeLeft;
    request.timeLeft = call.deadline - runtime_clock::now();
    request.budgetTokens = client.tokenBudget;
    request.retention = call.route->accountRetention();
    if (client.tokens) {
        request.promptTokens = client.tokens->prompt;
        request.maxOutputTokens = client.tokens->maxOutputTokens;
    } else {
        request.maxOutputTokens = std::max<std::int64_t>(0, client.tokenBudget.value_or(0));
    }
    return request;
}

/// \returns the tokens that may have reached the client in the turn of \p call.
std::int64_t usedTokens(const entry_call &call, const stream_result &stream)
{
    if (stream.isComplete)
        return stream.events * tokensPerEvent(call);
    // One further event may have reached the client in part.
    const std::int64_t used = (stream.events + 1) * tokensPerEvent(call);
    return call.request.tokens ? std::min(call.request.tokens->maxOutputTokens, used) : used;
}

} // namespace

bool isDispatchedRoute(const route_rule &route)
{
    return route.kind == route_kind::Stream && !route.keepsHistory && route.isResumable;
}

dispatched_turn_handler::dispatched_turn_handler(asio::any_io_executor executor,
                                                 slot_exchange &slots, engine_admission &admission,
                                                 upstream_sender &sender, response_relay &relay,
                                                 local_reply_writer &localReplies,
                                                 entry_metrics &metrics)
    : m_executor(std::move(executor)), m_slots(slots), m_engineAdmission(admission),
      m_sender(sender), m_relay(relay), m_localReplies(localReplies), m_metrics(metrics)
{ }

bool dispatched_turn_handler::handles(const entry_call &call) const
{
    return isDispatchedRoute(*call.route) && m_slots.isDispatched(call.service);
}

awaitable<bool> dispatched_turn_handler::serve(entry_call_ptr call, const http_request &request,
                                               response_writer &writer)
{
    for (int attempt = 1;; ++attempt) {
        slot_result result = co_await acquireSlot(call);
        if (!call->isWanted()) {
            if (const auto *slot = std::get_if<held_slot>(&result))
                m_slots.release(slot->number, {});
            if (!call->clientDisconnected())
                co_await m_localReplies.write(call, local_reply::Refused, "", writer);
            co_return true;
        }
        if (auto *refusal = std::get_if<slot_refusal>(&result)) {
            co_await writeRefusal(call, *refusal, writer);
            co_return true;
        }
        const auto *slot = std::get_if<held_slot>(&result);
        if (!slot)
            co_return false;
        const bool isDone = co_await runAt(call, *slot, attempt >= maxSlots, request, writer);
        if (isDone)
            co_return true;
    }
}

awaitable<slot_result> dispatched_turn_handler::acquireSlot(entry_call_ptr call)
{
    auto wait = std::make_shared<timer>(m_executor);
    call->admissionTimer = wait.get();
    std::function<bool()> isWanted = [call] { return call->isWanted(); };
    slot_request slotRequest = slotRequestOf(*call);
    const time_point began = runtime_clock::now();
    slot_result result
        = co_await m_slots.acquire(std::move(slotRequest), std::move(wait), std::move(isWanted));
    call->admissionTimer = nullptr;
    m_metrics.onPhase(call->route->name, request_phase::Admission, runtime_clock::now() - began);
    m_metrics.onSlot(std::visit(result_name(), result));
    if (const auto *slot = std::get_if<held_slot>(&result)) {
        logDecision(log_event::SlotGranted,
                    {{"request", call->request.id},
                     {"program", call->request.program.value},
                     {"replica", slot->replica.id.value},
                     {"cached_tokens", slot->cachedTokens},
                     {"waited_ms", toMilliseconds(slot->waited)}});
    }
    co_return result;
}

awaitable<void> dispatched_turn_handler::writeRefusal(entry_call_ptr call, slot_refusal refusal,
                                                      response_writer &writer)
{
    logDecision(log_event::SlotRefused,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"reason", std::string(toName(refusal.reason))},
                 {"retry_after_ms", toMilliseconds(refusal.retryAfter)}});
    const bool isSpent = refusal.reason == slot_refusal_reason::BudgetSpent;
    const local_reply answer = isSpent ? local_reply::BudgetExhausted : local_reply::Refused;
    std::string detail(toName(refusal.reason));
    co_await m_localReplies.write(call, answer, std::move(detail), writer, refusal.retryAfter);
}

awaitable<bool> dispatched_turn_handler::runAt(entry_call_ptr call, const held_slot &slot,
                                               bool isLastAttempt, const http_request &request,
                                               response_writer &writer)
{
    m_engineAdmission.countAdmitted(*call);
    placement_request placementRequest = placementRequestFor(*call);
    placementRequest.session = call->request.session;
    auto reply = co_await m_sender.openAt(call, placementRequest, slot.replica, slot.cachedTokens,
                                          request, request.body);
    if (reply) {
        co_await relayAnswer(call, slot, std::move(*reply), placementRequest, request, writer);
        co_return true;
    }
    m_engineAdmission.release(*call);
    send_failure failure = std::move(reply.error());
    slot_end end;
    end.outcome = failure.end;
    m_slots.release(slot.number, end);
    const bool didNotRun
        = failure.end == send_outcome::NotRun || failure.end == send_outcome::Unreachable;
    if (didNotRun && !isLastAttempt && call->isWanted())
        co_return false;
    co_await m_localReplies.replyWithFailure(call, std::move(failure), writer);
    co_return true;
}

awaitable<void> dispatched_turn_handler::relayAnswer(entry_call_ptr call, const held_slot &slot,
                                                     open_reply reply,
                                                     placement_request &placementRequest,
                                                     const http_request &request,
                                                     response_writer &writer)
{
    slot_end end;
    if (reply.head.status != 200) {
        constexpr int minFailureStatus = 500;
        end.outcome
            = reply.head.status >= minFailureStatus ? send_outcome::Failed : send_outcome::Answered;
        m_slots.release(slot.number, end);
        co_await m_relay.relayNonStream(call, std::move(reply), writer);
        co_return;
    }
    const stream_result stream = co_await m_relay.relayWithResumes(call, reply, placementRequest,
                                                                   request, request.body, writer);
    end.outcome = stream.firstEnd;
    end.usedTokens = usedTokens(*call, stream);
    end.msPerEvent = stream.msPerEvent;
    m_slots.release(slot.number, end);
    m_engineAdmission.release(*call);
    if (stream.isComplete) {
        co_await writer.end();
        co_return;
    }
    logDecision(log_event::TurnInterrupted,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"replica", call->replica.id.value},
                 {"cut", std::string(toName(call->abortReason))},
                 {"events", stream.events}});
}

} // namespace azurehill
