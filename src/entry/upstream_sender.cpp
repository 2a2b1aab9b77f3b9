#include "entry/upstream_sender.h"

#include "core/log_event.h"
#include "platform/ingress.h"
#include "runtime/runtime.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// Idle time after which a connection to a replica is closed, since the replica may have stopped
/// answering. With 6 s, a third of the new connections of a quiet day replaced expired ones.
constexpr duration maxIdle = seconds(20);
/// Maximum idle time of a connection that may carry a non-idempotent request: such a request can't
/// be sent again if it is lost on a dead connection.
constexpr duration maxIdleNonIdempotent = seconds(6);
constexpr std::size_t maxIdlePerReplica = 32;
/// Replicas are a few milliseconds away. A lost SYN is retransmitted after a second, by which time
/// another replica has long answered.
constexpr duration connectTimeout = milliseconds(300);
/// A replica without activity on any connection for this long may be dead. It may also be
/// overloaded, or have preempted this request.
constexpr duration silenceTimeout = milliseconds(1200);
/// Refusals don't count as attempts, so their number is bounded separately.
constexpr int maxRefusals = 4;
/// Minimum timeout of one attempt of an idempotent request, and the number of attempts among which
/// the remaining time is divided.
constexpr duration minAttemptTimeout = milliseconds(250);
constexpr int attemptsPerDeadline = 3;

/// Bounds on the body of a refusal, within which it is read.
constexpr std::size_t maxRefusalBody = 16U << 10U;
constexpr duration refusalBodyTimeout = milliseconds(100);

constexpr int statusOk = 200;
/// Lowest HTTP status that means that the replica failed.
constexpr int minFailureStatus = 500;

/// \returns the maximum idle time of a connection that may carry \p call.
duration maxIdleFor(const entry_call &call)
{
    return call.route->kind == route_kind::NonIdempotent ? maxIdleNonIdempotent : maxIdle;
}

duration attemptTimeout(const entry_call &call, const replica_load_balancer &loadBalancer,
                        time_point now)
{
    const duration minEvenFraction = (call.deadline - now) / attemptsPerDeadline;
    const auto typical = loadBalancer.typicalFirstByteTime(call.service);
    const duration preferred
        = typical ? std::max<duration>(2 * *typical, minAttemptTimeout) : minEvenFraction;
    return std::min(preferred, std::max<duration>(minEvenFraction, minAttemptTimeout));
}

send_outcome failedSendEnd(const entry_call &call, const http_error &error)
{
    switch (call.abortReason) {
    case abort_reason::ClientDisconnected:
    case abort_reason::DeadlineExceeded:
    case abort_reason::ShuttingDown:
        return send_outcome::Cancelled;
    case abort_reason::ReplicaSilent:
        return send_outcome::Silent;
    case abort_reason::AttemptTimeout:
        return send_outcome::Broken;
    case abort_reason::Quarantined:
    case abort_reason::None:
        break;
    }
    return error.kind == http_error_kind::TimedOut ? send_outcome::Cancelled : send_outcome::Broken;
}

/// \returns how the replica lost the send of \p reply, or nothing if it did not.
std::optional<send_loss> lossOf(const entry_call &call, const open_reply &reply, send_outcome end)
{
    if (!reply.isSent)
        return std::nullopt;
    switch (end) {
    case send_outcome::Answered:
    case send_outcome::Failed:
        return reply.head.framing == body_framing::Connection
            ? std::optional(send_loss::EndedWithConnection)
            : std::nullopt;
    case send_outcome::NotRun:
    case send_outcome::Unreachable:
        return std::nullopt;
    case send_outcome::Silent:
    case send_outcome::Cancelled:
        return send_loss::GivenUp;
    case send_outcome::Broken:
        break;
    }
    if (call.abortReason != abort_reason::None || reply.failure == http_error_kind::TimedOut)
        return send_loss::GivenUp;
    const bool isConnectionEnded = reply.failure == http_error_kind::ConnectionLost
        || reply.failure == http_error_kind::Incomplete;
    return isConnectionEnded ? send_loss::ConnectionEnded : send_loss::Malformed;
}

/// \returns what this daemon observed of the send of \p call that was lost by \p loss.
loss_observation observe(const entry_call &call, send_loss loss, time_point now)
{
    // A replica stops work at the deadline that it was given, and at the end of its own answer.
    const bool hasAnswered = loss == send_loss::EndedWithConnection;
    const bool wasLeaving = call.replicaLeavesAt && now >= *call.replicaLeavesAt;
    return {loss, hasAnswered ? now : call.deadline, wasLeaving};
}

/// \brief Reads the rest of a refusal, so that the connection can be reused, unless it is long.
/// \returns false if its end was not reached.
awaitable<bool> discardBody(open_reply &reply)
{
    const std::shared_ptr<http_connection> connection = reply.connection;
    const time_point deadline = runtime_clock::now() + refusalBodyTimeout;
    std::size_t bytes = 0;
    while (bytes <= maxRefusalBody) {
        const auto chunk = co_await connection->readSome(deadline);
        if (!chunk)
            reply.setFailure(chunk.error());
        if (!chunk || chunk->empty())
            co_return chunk.has_value();
        bytes += chunk->size();
    }
    connection->close();
    co_return false;
}

} // namespace

placement_request placementRequestFor(const entry_call &call)
{
    placement_request result;
    result.service = call.service;
    result.parts = call.request.promptParts;
    if (call.request.tokens)
        result.promptTokens = call.request.tokens->prompt;
    if (call.route->sessionAffinity)
        result.affinityKey = call.request.affinityKey;
    return result;
}

upstream_sender::upstream_sender(const asio::any_io_executor &executor,
                                 replica_load_balancer &loadBalancer,
                                 request_quarantine &quarantine, entry_metrics &metrics)
    : m_executor(executor), m_loadBalancer(loadBalancer), m_quarantine(quarantine),
      m_metrics(metrics), m_pool(executor, maxIdle, maxIdlePerReplica)
{ }

bool upstream_sender::isSilent(const entry_call &call, time_point now) const
{
    if (call.route->kind != route_kind::Stream)
        return false;
    const time_point lastActivity = std::max({call.lastByteAt, call.sentAt, call.replicaAliveAt,
                                              m_loadBalancer.lastReceivedAt(call.replica)});
    return now - lastActivity > std::max<duration>(silenceTimeout, 2 * call.route->maxEventGap);
}

bool upstream_sender::isStillAllowed(const entry_call &call) const
{
    if (!m_routes || m_routes == call.routes)
        return true;
    const route_rule *const route = m_routes->find(call.request.hostname, call.path);
    if (!route)
        return false;
    const access current = checkAccess(m_routes->accounts(), route->isPublic, call.request.key);
    const account_id holder = current.account ? current.account->name : account_id();
    return current.verdict == access_verdict::Allowed && holder == call.accountName();
}

std::optional<placement> upstream_sender::choose(const entry_call &call,
                                                 const placement_request &request)
{
    const time_point now = runtime_clock::now();
    if (!m_hasSharedReplicas)
        return m_loadBalancer.choose(request, now);
    const duration maxIdleTime = maxIdleFor(call);
    return m_loadBalancer.choose(request, now, [&](const endpoint &address) {
        return m_pool.hasIdle(address, now, maxIdleTime);
    });
}

void upstream_sender::dropConnections(const replica_entry &replaced)
{
    m_pool.drop(replaced.address);
}

void upstream_sender::sweep(time_point now)
{
    m_pool.expire(now);
    m_quarantine.update([this](const replica_incarnation &who) { return sightOf(who); });
    const std::set<entry_call_ptr> calls = m_inFlight;
    for (const entry_call_ptr &call : calls) {
        observeReplica(*call);
        if (call->abortReason != abort_reason::None)
            continue;
        if (now >= call->deadline)
            call->abortSend(abort_reason::DeadlineExceeded);
        else if (call->attemptDeadline && now >= *call->attemptDeadline)
            call->abortSend(abort_reason::AttemptTimeout);
        else if (isSilent(*call, now))
            probeReplica(*call);
    }
}

void upstream_sender::observeReplica(entry_call &call) const
{
    if (m_loadBalancer.isDraining(call.replica))
        call.replicaLeavesAt = m_loadBalancer.entryOf(call.replica)->drainDeadline;
}

replica_sight upstream_sender::sightOf(const replica_incarnation &who) const
{
    replica_sight sight;
    sight.lastReceivedAt = m_loadBalancer.lastReceivedAt(who);
    if (const replica_entry *const entry = m_loadBalancer.entryOf(who)) {
        sight.isListed = true;
        sight.isDraining = entry->draining;
        sight.drainNotBefore = entry->drainNotBefore;
        sight.drainDeadline = entry->drainDeadline;
    }
    return sight;
}

void upstream_sender::watchLostSend(const entry_call &call, const open_reply &reply,
                                    send_outcome end)
{
    const auto loss = lossOf(call, reply, end);
    const lost_send lost{call.fingerprint, reply.where.replica.incarnation, reply.send};
    if (!loss) {
        m_quarantine.onSendEnded(lost);
        return;
    }
    m_quarantine.onSendLost(lost, observe(call, *loss, runtime_clock::now()),
                            [this](const replica_incarnation &who) { return sightOf(who); });
}

awaitable<std::optional<lost_send>> upstream_sender::passQuarantine(entry_call_ptr call,
                                                                    replica_incarnation replica)
{
    lost_send send{call->fingerprint, std::move(replica), stableHash(call->request.id, ++m_sends)};
    const send_announcement announced
        = co_await m_quarantine.announce(send, call->deadline - runtime_clock::now());
    send.send = announced.send;
    if (isAllowed(announced.verdict))
        co_return send;
    if (call->abortReason == abort_reason::None)
        call->abortReason = abort_reason::Quarantined;
    co_return std::nullopt;
}

void upstream_sender::probeReplica(const entry_call &call)
{
    if (m_probedReplicas.insert(call.replica).second)
        spawn(m_executor, "connectToSilent", probeByConnecting(call.replica, call.replicaAddress));
}

awaitable<void> upstream_sender::probeByConnecting(replica_incarnation who, endpoint address)
{
    http_connection connection(m_executor);
    const auto connected
        = co_await connection.connect(address, runtime_clock::now() + connectTimeout);
    const time_point now = runtime_clock::now();
    m_probedReplicas.erase(who);
    logDecision(log_event::SilentReplicaProbed,
                {{"replica", who.id.value}, {"alive", connected.has_value()}});
    const std::set<entry_call_ptr> calls = m_inFlight;
    for (const entry_call_ptr &call : calls) {
        if (call->replica != who || call->abortReason != abort_reason::None)
            continue;
        if (connected)
            call->replicaAliveAt = now;
        else if (isSilent(*call, now))
            call->abortSend(abort_reason::ReplicaSilent);
    }
    if (connected)
        m_pool.give(address, std::move(connection), now);
}

std::optional<send_obstacle> upstream_sender::obstacleTo(const entry_call &call,
                                                         const placement &where,
                                                         placement_binding binding) const
{
    const replica_incarnation &who = where.replica.incarnation;
    const bool isFree = binding == placement_binding::Free;
    // What runs already may go on without its route.
    if (isFree && !isStillAllowed(call))
        return send_obstacle::AccessRevoked;
    if (m_loadBalancer.isAccepting(who))
        return std::nullopt;
    if (isFree)
        return send_obstacle::NotAccepting;
    if (!m_loadBalancer.isListed(who))
        return send_obstacle::NotListed;
    if (m_loadBalancer.mayRepeatAt(who, runtime_clock::now()))
        return std::nullopt;
    return m_loadBalancer.isDraining(who) ? send_obstacle::DrainTimeOver
                                          : send_obstacle::NotAccepting;
}

send_failure upstream_sender::withhold(entry_call &call, open_reply &reply, send_obstacle obstacle)
{
    logDecision(log_event::SendWithheld,
                {{"request", call.request.id},
                 {"replica", reply.where.replica.incarnation.id.value},
                 {"reason", std::string(toName(obstacle))},
                 {"after_event", call.lastEventId}});
    finish(call, reply, send_outcome::Cancelled);
    const bool isEnd = obstacle == send_obstacle::NotListed;
    return {isEnd ? send_outcome::Unreachable : send_outcome::NotRun,
            std::string(toName(obstacle))};
}

awaitable<tl::expected<open_reply, send_failure>>
upstream_sender::sendOnce(entry_call_ptr call, placement where, placement_binding binding,
                          const placement_request &placementRequest, const http_request &original,
                          std::string_view body)
{
    const auto send = co_await passQuarantine(call, where.replica.incarnation);
    if (!send || !call->isWanted() || runtime_clock::now() >= call->deadline) {
        if (send)
            m_quarantine.onSendEnded(*send);
        co_return tl::unexpected(
            send_failure{send_outcome::Cancelled, std::string(toName(call->abortReason))});
    }
    const endpoint address = where.replica.address;
    auto connection = std::make_shared<http_connection>(
        m_pool.take(address, runtime_clock::now(), maxIdleFor(*call)));
    call->connection = connection.get();
    call->replica = where.replica.incarnation;
    call->replicaAddress = address;
    call->replicaLeavesAt.reset();
    call->sentAt = runtime_clock::now();
    call->lastByteAt = call->sentAt;
    call->attemptDeadline.reset();
    m_loadBalancer.onSent(where, placementRequest, call->sentAt);
    m_inFlight.insert(call);
    open_reply reply;
    reply.where = where;
    reply.connection = connection;
    reply.send = send->send;

    const bool isNew = !connection->isReusable();
    if (isNew) {
        const time_point until = std::min(call->deadline, call->sentAt + connectTimeout);
        const auto connected = co_await connection->connect(address, until);
        if (!connected) {
            finish(*call, reply,
                   call->isWanted() ? send_outcome::Unreachable : send_outcome::Cancelled);
            co_return tl::unexpected(
                send_failure{send_outcome::Unreachable, connected.error().detail,
                             connected.error().kind == http_error_kind::ConnectFailed});
        }
    }
    if (!call->isWanted()) {
        finish(*call, reply, send_outcome::Cancelled);
        co_return tl::unexpected(
            send_failure{send_outcome::Cancelled, std::string(toName(call->abortReason))});
    }
    if (const auto obstacle = obstacleTo(*call, where, binding))
        co_return tl::unexpected(withhold(*call, reply, *obstacle));
    const time_point now = runtime_clock::now();
    if (call->route->kind == route_kind::Idempotent)
        call->attemptDeadline = now + attemptTimeout(*call, m_loadBalancer, now);
    const forward_headers fields{where.replica.incarnation.id, call->deadline - now,
                                 call->rank.urgency,           !call->routes->accounts().empty(),
                                 call->accountName(),          call->lastEventId};
    http_request out = encodeUpstreamRequest(original, fields, std::string(body));
    logDecision(log_event::Sent,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"fingerprint", toText(call->fingerprint)},
                 {"attempt", std::int64_t(placementRequest.tried.size())},
                 {"replica", where.replica.incarnation.id.value},
                 {"outstanding", std::int64_t(where.outstanding)},
                 {"candidates", std::int64_t(where.candidates)},
                 {"finish_ms",
                  call->request.programTimeLeft ? toMilliseconds(*call->request.programTimeLeft)
                                                : std::int64_t(-1)},
                 {"prompt_tokens", placementRequest.promptTokens},
                 {"cached_tokens", where.cachedTokens},
                 {"cost_ms", where.cost},
                 {"new_connection", isNew},
                 {"after_event", call->lastEventId},
                 {"left_ms", toMilliseconds(fields.timeLeft)}});
    reply.isSent = true;
    call->wasSent = true;
    connection->setMemoryAccount(
        [call](std::size_t bytes) { return call->memory.tryHold(held_part::Head, bytes); });
    auto head = co_await connection->sendAndReadHead(std::move(out), call->deadline);
    if (!head) {
        reply.setFailure(head.error());
        // A request certainly did not run only if none of its bytes was sent.
        const bool didNotRun = head.error().ran == outcome::DidNotRun;
        reply.isSent = !didNotRun;
        const send_outcome end = didNotRun && call->isWanted() ? send_outcome::NotRun
                                                               : failedSendEnd(*call, head.error());
        if (!didNotRun)
            call->mayHaveRun = true;
        finish(*call, reply, end);
        co_return tl::unexpected(send_failure{end, head.error().detail});
    }
    call->lastByteAt = runtime_clock::now();
    const reply_kind kind
        = classifyReply(*head, call->request.id, call->request.tokenBudget.has_value());
    if (kind == reply_kind::Answer) {
        // The response time of a failure says nothing about how long answers take.
        if (head->status < minFailureStatus)
            m_loadBalancer.onFirstByte(where, placementRequest, call->lastByteAt - call->sentAt,
                                       call->lastByteAt);
        call->mayHaveRun = true;
        if (call->route->kind == route_kind::Stream && head->status == statusOk)
            connection->expectEventStream();
        reply.head = std::move(*head);
        co_return reply;
    }
    if (kind == reply_kind::UnprovenRejection) {
        reply.head = std::move(*head);
        send_failure failure = co_await finishUnprovenRejection(call, reply);
        co_return tl::unexpected(std::move(failure));
    }
    if (kind == reply_kind::Foreign) {
        call->mayHaveRun = true;
        connection->close();
        finish(*call, reply, send_outcome::Broken);
        co_return tl::unexpected(send_failure{send_outcome::Broken, "not the replica's answer"});
    }
    if (kind == reply_kind::WrongReplica) {
        m_loadBalancer.setLeaving(where.replica.incarnation);
        m_quarantine.onAddressTaken(where.replica.incarnation);
    } else if (m_hasSharedReplicas) {
        m_loadBalancer.onShed(where, placementRequest, call->lastByteAt);
    }
    co_await discardBody(reply);
    finish(*call, reply, send_outcome::NotRun);
    co_return tl::unexpected(send_failure{send_outcome::NotRun, std::string(toName(kind))});
}

awaitable<send_failure> upstream_sender::finishUnprovenRejection(entry_call_ptr call,
                                                                 open_reply &reply)
{
    call->mayHaveRun = true;
    send_failure failure;
    failure.end = send_outcome::Failed;
    failure.detail
        = fmt::format("rejected without proof that it did not run: {}", reply.head.status);
    if (call->route->isRepeatable())
        failure.retryAfter = retryAfterOf(reply.head);
    const bool isWhole = co_await discardBody(reply);
    finish(*call, reply, isWhole ? send_outcome::Answered : send_outcome::Broken);
    co_return failure;
}

void upstream_sender::finish(entry_call &call, open_reply &reply, send_outcome end)
{
    const time_point now = runtime_clock::now();
    if (end == send_outcome::Answered && reply.head.status >= minFailureStatus)
        end = send_outcome::Failed;
    m_loadBalancer.onDone(reply.where, end, now);
    call.connection = nullptr;
    if (end == send_outcome::NotRun)
        call.wasSent = false;
    call.attemptDeadline.reset();
    std::erase_if(m_inFlight, [&](const entry_call_ptr &c) { return c.get() == &call; });
    // Connections to a process that has ended are dead, and the next request on one of them would
    // fail.
    const bool isReplaced = m_loadBalancer.isReplaced(reply.where.replica.incarnation);
    const bool isAnswerRead = end == send_outcome::Answered || end == send_outcome::Failed
        || end == send_outcome::NotRun;
    const bool keep = !isReplaced && isAnswerRead;
    if (keep)
        m_pool.give(reply.where.replica.address, std::move(*reply.connection), now);
    else
        reply.connection->close();
    if (end == send_outcome::Unreachable || end == send_outcome::Silent)
        m_pool.drop(reply.where.replica.address);
    watchLostSend(call, reply, end);
    m_metrics.onSend(toName(end));
    logDecision(log_event::SendEnded,
                {{"request", call.request.id},
                 {"replica", reply.where.replica.incarnation.id.value},
                 {"end", std::string(toName(end))},
                 {"status",
                  std::int64_t(end == send_outcome::Answered || end == send_outcome::Failed
                                   ? reply.head.status
                                   : 0)},
                 {"cut", std::string(toName(call.abortReason))},
                 {"framing", std::string(toName(reply.head.framing))},
                 {"read_error", reply.readError},
                 {"ms", toMilliseconds(now - call.sentAt)}});
}

awaitable<tl::expected<open_reply, send_failure>>
upstream_sender::sendAndRepeat(entry_call_ptr call, placement where,
                               const placement_request &placementRequest,
                               const http_request &original, std::string_view body)
{
    auto reply
        = co_await sendOnce(call, where, placement_binding::Free, placementRequest, original, body);
    // Another replica may not run the request while this one is alive, if the route allows one
    // attempt only.
    const bool mayRepeat = !reply && reply.error().end == send_outcome::Broken
        && call->route->isResumable && call->abortReason == abort_reason::None
        && call->sends + 1 >= call->route->maxAttempts && runtime_clock::now() < call->deadline;
    if (!mayRepeat)
        co_return reply;
    auto again = co_await sendOnce(call, where, placement_binding::Bound, placementRequest,
                                   original, body);
    // The first send may have run, whatever became of the second one.
    const bool isHidden = !again
        && (again.error().end == send_outcome::NotRun
            || (again.error().end == send_outcome::Unreachable
                && !isEnded(where.replica.incarnation, again.error())));
    if (isHidden)
        co_return reply;
    co_return again;
}

bool upstream_sender::isEnded(const replica_incarnation &who, const send_failure &failure) const
{
    return failure.isConnectionRefused || !m_loadBalancer.isListed(who);
}

awaitable<tl::expected<open_reply, send_failure>>
upstream_sender::openAt(entry_call_ptr call, placement_request &placementRequest,
                        replica_incarnation replica, std::int64_t cachedTokens,
                        const http_request &original, std::string_view body)
{
    if (!isStillAllowed(*call))
        co_return tl::unexpected(
            send_failure{send_outcome::Cancelled, "the key or the route was taken away"});
    const auto where = m_loadBalancer.placementAt(replica, cachedTokens);
    if (!where)
        co_return tl::unexpected(
            send_failure{send_outcome::NotRun, "the replica does not accept requests"});
    placementRequest.tried.insert(replica);
    auto reply = co_await sendAndRepeat(call, *where, placementRequest, original, body);
    const bool wasAttempt = !reply && reply.error().end != send_outcome::NotRun
        && reply.error().end != send_outcome::Unreachable;
    if (wasAttempt)
        ++call->sends;
    co_return reply;
}

awaitable<tl::expected<open_reply, send_failure>>
upstream_sender::open(entry_call_ptr call, placement_request &placementRequest,
                      const http_request &original, std::string_view body)
{
    send_failure last{send_outcome::Unreachable, "no replica may take requests"};
    int refusals = 0;
    while (runtime_clock::now() < call->deadline && call->isWanted()) {
        if (!isStillAllowed(*call)) {
            last = {send_outcome::NotRun, "the key or the route was taken away"};
            break;
        }
        if (call->sends >= call->route->maxAttempts || refusals > maxRefusals)
            break;
        placementRequest.mayEndReplica
            = crash_ledger::isLastAllowed(m_quarantine.verdict(call->fingerprint));
        const auto where = choose(*call, placementRequest);
        if (!where)
            break;
        placementRequest.tried.insert(where->replica.incarnation);
        auto reply = co_await sendAndRepeat(call, *where, placementRequest, original, body);
        if (reply)
            co_return reply;
        last = reply.error();
        if (last.end == send_outcome::NotRun || last.end == send_outcome::Unreachable) {
            ++refusals;
            continue;
        }
        ++call->sends;
        const bool mayRetry = call->route->isRepeatable();
        if (call->abortReason == abort_reason::AttemptTimeout && mayRetry)
            call->abortReason = abort_reason::None;
        if (!mayRetry || call->abortReason != abort_reason::None)
            break;
    }
    co_return tl::unexpected(last);
}

awaitable<tl::expected<open_reply, send_failure>>
upstream_sender::resume(entry_call_ptr call, placement_request &placementRequest, placement broken,
                        const http_request &original, std::string_view body)
{
    call->abortReason = abort_reason::None;
    ++call->sends;
    bool isUnlisted = !m_loadBalancer.isListed(broken.replica.incarnation);
    if (!isUnlisted && call->sends >= call->route->maxAttempts) {
        // No other replica may be asked while this one is alive.
        auto again = co_await sendOnce(call, broken, placement_binding::Bound, placementRequest,
                                       original, body);
        if (again)
            co_return again;
        isUnlisted = isEnded(broken.replica.incarnation, again.error());
        if (!isUnlisted)
            co_return again;
    }
    if (isUnlisted)
        --call->sends;
    co_return co_await open(call, placementRequest, original, body);
}

} // namespace azurehill
