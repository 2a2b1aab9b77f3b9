#include "entry/response_relay.h"

#include "entry/relayed_events.h"
#include "platform/ingress.h"

#include <optional>

namespace azurehill {

namespace {

/// Maximum number of further sends that resume a stream after its first send.
constexpr int maxResumes = 3;

/// Why a stream was broken off that would have made the process hold too much.
constexpr std::string_view memoryShort = "no memory is left for the answer";

bool isTooLong(const stream_result &stream)
{
    return stream.bytes > response_relay::maxStreamBytes
        || stream.output.size() > response_relay::maxOutputBytes;
}

/// \returns whether \p stream may be resumed at a replica.
bool mayResume(const entry_call &call, const stream_result &stream)
{
    const bool isClientGone = !call.isWanted() || !stream.isClientConnected;
    const bool isPastDeadline = call.abortReason == abort_reason::DeadlineExceeded
        || runtime_clock::now() >= call.deadline;
    const bool isPositionKnown = stream.events == 0 || !call.lastEventId.empty();
    return call.route->isResumable && isPositionKnown && !stream.isComplete && !isClientGone
        && !isPastDeadline && !isTooLong(stream);
}

/// \returns the outcome of a send whose answer was not relayed completely.
send_outcome incompleteSendEnd(const entry_call &call, bool isClientConnected)
{
    if (!call.isWanted() || !isClientConnected
        || call.abortReason == abort_reason::DeadlineExceeded)
        return send_outcome::Cancelled;
    return call.abortReason == abort_reason::ReplicaSilent ? send_outcome::Silent
                                                           : send_outcome::Broken;
}

} // namespace

std::int64_t tokensPerEvent(const entry_call &call)
{
    const service_rule *service = call.routes->service(call.service);
    return service && service->engine ? service->engine->tokensPerEvent : 1;
}

response_relay::response_relay(upstream_sender &sender, replica_load_balancer &loadBalancer,
                               engine_admission &admission, local_reply_writer &localReplies,
                               entry_metrics &metrics)
    : m_sender(sender), m_loadBalancer(loadBalancer), m_engineAdmission(admission),
      m_localReplies(localReplies), m_metrics(metrics)
{ }

awaitable<body_read> response_relay::readBody(entry_call_ptr call, open_reply &reply,
                                              std::string &body)
{
    // The next part may double the capacity of the buffer.
    while (body.size() <= maxBufferedBytes
           && call->memory.tryHold(held_part::Body, 2 * body.size())) {
        const auto chunk = co_await reply.connection->readSome(call->deadline);
        if (!chunk) {
            reply.setFailure(chunk.error());
            co_return body_read::Broken;
        }
        if (chunk->empty())
            co_return body_read::Complete;
        call->lastByteAt = runtime_clock::now();
        body += *chunk;
    }
    co_return body_read::Partial;
}

awaitable<void> response_relay::relayRemainder(entry_call_ptr call, open_reply &reply,
                                               std::string prefix, response_writer &writer)
{
    header_list headers = clientReplyHeaders(reply.head);
    call->responseStarted = true;
    bool isClientConnected = co_await writer.begin(reply.head.status, std::move(headers));
    bool isComplete = false;
    std::string chunk = std::move(prefix);
    while (isClientConnected) {
        isClientConnected = co_await writer.writeChunk(chunk);
        chunk = std::string();
        call->memory.tryHold(held_part::Body, 0);
        auto next = co_await reply.connection->readSome(call->deadline);
        if (!next) {
            reply.setFailure(next.error());
            break;
        }
        isComplete = next->empty();
        if (isComplete)
            break;
        chunk = std::move(*next);
    }
    if (isClientConnected && isComplete)
        isClientConnected = co_await writer.end();
    m_sender.finish(*call, reply,
                    isComplete ? send_outcome::Answered
                               : incompleteSendEnd(*call, isClientConnected));
}

awaitable<void> response_relay::relayNonStream(entry_call_ptr call, open_reply reply,
                                               response_writer &writer)
{
    std::string body;
    const body_read result = co_await readBody(call, reply, body);
    if (result == body_read::Partial) {
        co_await relayRemainder(call, reply, std::move(body), writer);
        co_return;
    }
    const bool isComplete = result == body_read::Complete;
    m_sender.finish(*call, reply, isComplete ? send_outcome::Answered : send_outcome::Broken);
    if (!isComplete) {
        const send_failure broken{send_outcome::Broken, "the answer broke off"};
        co_await m_localReplies.replyWithFailure(call, broken, writer);
        co_return;
    }
    http_response response{reply.head.status, clientReplyHeaders(reply.head), std::move(body)};
    co_await writer.write(std::move(response));
}

double response_relay::recordEventInterval(const entry_call &call, std::int64_t events,
                                           time_point firstAt)
{
    // Fewer events say more about how the answer was split into packets than about the engine.
    constexpr std::int64_t enoughEvents = 4;
    m_metrics.onPhase(call.route->name, request_phase::Events, call.lastByteAt - firstAt);
    if (events < enoughEvents)
        return 0;
    const std::chrono::duration<double, std::milli> span = call.lastByteAt - firstAt;
    const double msPerEvent = span.count() / double(events - 1);
    m_engineAdmission.onEventInterval(call.service, msPerEvent, call.lastByteAt);
    return msPerEvent;
}

awaitable<stream_result> response_relay::relayStream(entry_call_ptr call, open_reply &reply,
                                                     response_writer &writer)
{
    stream_result stream;
    header_list headers = clientReplyHeaders(reply.head);
    call->responseStarted = true;
    call->lastEventId = call->request.lastEventId;
    stream.isClientConnected = co_await writer.begin(reply.head.status, std::move(headers));
    stream.firstEnd = co_await relayEvents(call, reply, stream, writer);
    co_return stream;
}

awaitable<stream_result> response_relay::relayWithResumes(entry_call_ptr call, open_reply &reply,
                                                          placement_request &placementRequest,
                                                          const http_request &original,
                                                          std::string_view body,
                                                          response_writer &writer)
{
    stream_result stream = co_await relayStream(call, reply, writer);
    for (int i = 0; i < maxResumes && mayResume(*call, stream); ++i) {
        auto next = co_await m_sender.resume(call, placementRequest, reply.where, original, body);
        if (!next)
            break;
        reply = std::move(*next);
        if (reply.head.status != 200) {
            m_sender.finish(*call, reply, send_outcome::Answered);
            break;
        }
        co_await relayContinuation(call, reply, stream, writer);
    }
    co_return stream;
}

awaitable<void> response_relay::relayContinuation(entry_call_ptr call, open_reply &reply,
                                                  stream_result &stream, response_writer &writer)
{
    co_await relayEvents(call, reply, stream, writer);
}

awaitable<send_outcome> response_relay::relayEvents(entry_call_ptr call, open_reply &reply,
                                                    stream_result &stream, response_writer &writer)
{
    std::optional<time_point> firstAt;
    relayed_events events = makeRelayedEvents(*call, stream);
    const std::int64_t eventsBefore = stream.events;
    while (stream.isClientConnected && !isEventTooLong(events) && !isTooLong(stream)) {
        auto chunk = co_await reply.connection->readSome(call->deadline);
        if (!chunk) {
            reply.setFailure(chunk.error());
            break;
        }
        if (chunk->empty()) {
            stream.isComplete = true;
            break;
        }
        call->lastByteAt = runtime_clock::now();
        stream.bytes += chunk->size();
        if (!firstAt) {
            firstAt = call->lastByteAt;
            m_metrics.onPhase(call->route->name, request_phase::FirstByte, *firstAt - call->sentAt);
        }
        m_loadBalancer.onBytesReceived(reply.where.replica.incarnation, call->lastByteAt);
        const std::string bytes = parse(events, std::move(*chunk));
        if (!call->memory.tryHold(held_part::Body, heldBytes(events) + bytes.capacity())) {
            reply.readError = memoryShort;
            break;
        }
        if (!bytes.empty())
            stream.isClientConnected = co_await writer.writeChunk(bytes);
    }
    // After a complete stream these are comment lines only.
    const std::string_view rest = unfinished(events);
    if (stream.isComplete && !rest.empty())
        stream.isClientConnected = co_await writer.writeChunk(rest);
    if (firstAt)
        stream.msPerEvent = recordEventInterval(*call, stream.events - eventsBefore, *firstAt);
    const send_outcome end = stream.isComplete ? send_outcome::Answered
                                               : incompleteSendEnd(*call, stream.isClientConnected);
    m_sender.finish(*call, reply, end);
    co_return end;
}

} // namespace azurehill
