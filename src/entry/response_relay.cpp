#include "entry/response_relay.h"

#include "platform/ingress.h"

#include <charconv>
#include <optional>

namespace azurehill {

namespace {

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

/// \returns whether \p event comes at or before the event \p last. Ids grow along a stream.
bool isRepeated(const sse_event &event, std::string_view last)
{
    const auto number = wholeNumber(event.id);
    const auto lastNumber = wholeNumber(last);
    return number && lastNumber && *number <= *lastNumber;
}

/// \returns how a send ended whose answer was not relayed whole.
send_outcome incompleteSendEnd(const entry_call &call, bool clientOpen)
{
    if (call.clientDisconnected() || !clientOpen || call.cut == abort_reason::DeadlineExceeded)
        return send_outcome::Cancelled;
    return call.cut == abort_reason::ReplicaSilent ? send_outcome::Silent : send_outcome::Broken;
}

} // namespace

response_relay::response_relay(upstream_sender &sender, replica_load_balancer &board,
                               engine_admission &places, local_reply_writer &answers,
                               entry_metrics &metrics)
    : m_sender(sender), m_board(board), m_places(places), m_answers(answers), m_metrics(metrics)
{ }

awaitable<bool> response_relay::readBody(entry_call_ptr call, open_reply &reply, std::string &body)
{
    while (body.size() <= maxBufferedBytes) {
        const auto piece = co_await reply.connection->readSome(call->deadline);
        if (!piece)
            co_return false;
        if (piece->empty())
            co_return true;
        call->lastByteAt = runtime_clock::now();
        body += *piece;
    }
    co_return true;
}

awaitable<void> response_relay::relayRemainder(entry_call_ptr call, open_reply &reply,
                                               std::string start, response_writer &writer)
{
    header_list headers = clientReplyHeaders(reply.head);
    call->begun = true;
    bool open = co_await writer.begin(reply.head.status, std::move(headers));
    bool isWhole = false;
    std::string piece = std::move(start);
    while (open) {
        open = co_await writer.writeChunk(piece);
        auto next = co_await reply.connection->readSome(call->deadline);
        if (!next)
            break;
        isWhole = next->empty();
        if (isWhole)
            break;
        piece = std::move(*next);
    }
    if (open && isWhole)
        open = co_await writer.end();
    m_sender.finish(*call, reply,
                    open && isWhole ? send_outcome::Answered : incompleteSendEnd(*call, open));
}

awaitable<void> response_relay::relayNonStream(entry_call_ptr call, open_reply reply,
                                               response_writer &writer)
{
    std::string body;
    const bool whole = co_await readBody(call, reply, body);
    m_sender.finish(*call, reply, whole ? send_outcome::Answered : send_outcome::Broken);
    if (!whole) {
        const send_failure broken{send_outcome::Broken, "the answer broke off"};
        co_await m_answers.giveUp(call, broken, writer);
        co_return;
    }
    http_response response{reply.head.status, clientReplyHeaders(reply.head), std::move(body)};
    co_await writer.write(std::move(response));
}

void response_relay::recordEventInterval(const entry_call &call, std::int64_t events,
                                         time_point firstAt)
{
    // Fewer say more about how the answer was cut into packets than about the engine.
    constexpr std::int64_t enoughEvents = 4;
    m_metrics.onPhase(call.route->name, request_phase::Events, call.lastByteAt - firstAt);
    if (events < enoughEvents)
        return;
    const std::chrono::duration<double, std::milli> span = call.lastByteAt - firstAt;
    m_places.onPace(call.service, span.count() / double(events - 1), call.lastByteAt);
}

std::string response_relay::parseChunk(entry_call &call, sse_reader &events,
                                       const std::string &piece, stream_result &stream)
{
    std::string whole;
    events.feed(piece);
    while (auto event = events.nextEvent()) {
        if (call.route->isResumable && isRepeated(*event, call.lastEventId))
            continue;
        if (!event->id.empty())
            call.lastEventId = event->id;
        whole += event->raw;
        if (!event->data)
            continue;
        ++stream.events;
        stream.output += *event->data;
        stream.output += '\n';
    }
    return call.route->isResumable ? whole : piece;
}

awaitable<stream_result> response_relay::relayStream(entry_call_ptr call, open_reply &reply,
                                                     response_writer &writer)
{
    stream_result result;
    header_list headers = clientReplyHeaders(reply.head);
    call->begun = true;
    call->lastEventId = call->request.lastEventId;
    result.isOpen = co_await writer.begin(reply.head.status, std::move(headers));
    co_await relayContinuation(call, reply, result, writer);
    co_return result;
}

awaitable<void> response_relay::relayContinuation(entry_call_ptr call, open_reply &reply,
                                                  stream_result &stream, response_writer &writer)
{
    std::optional<time_point> firstAt;
    sse_reader events;
    const std::int64_t eventsBefore = stream.events;
    while (stream.isOpen && !events.isTooLong()) {
        auto piece = co_await reply.connection->readSome(call->deadline);
        if (!piece)
            break;
        if (piece->empty()) {
            stream.isWhole = true;
            break;
        }
        call->lastByteAt = runtime_clock::now();
        if (!firstAt) {
            firstAt = call->lastByteAt;
            m_metrics.onPhase(call->route->name, request_phase::FirstByte, *firstAt - call->sentAt);
        }
        m_board.onBytesReceived(reply.where.replica.incarnation, call->lastByteAt);
        const std::string bytes = parseChunk(*call, events, *piece, stream);
        if (!bytes.empty())
            stream.isOpen = co_await writer.writeChunk(bytes);
    }
    if (stream.isWhole && call->route->isResumable && !events.unfinished().empty())
        stream.isOpen = co_await writer.writeChunk(events.unfinished());
    if (firstAt)
        recordEventInterval(*call, stream.events - eventsBefore, *firstAt);
    m_sender.finish(*call, reply,
                    stream.isWhole ? send_outcome::Answered
                                   : incompleteSendEnd(*call, stream.isOpen));
}

} // namespace azurehill
