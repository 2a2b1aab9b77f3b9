#include "entry/relayed_events.h"

#include <charconv>
#include <optional>
#include <utility>

namespace azurehill {

namespace {

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

/// \returns whether \p event is the event \p lastEventId or an earlier one. Ids increase along a
/// stream.
bool isRepeated(const sse_event &event, std::string_view lastEventId)
{
    const auto number = wholeNumber(event.id);
    const auto lastNumber = wholeNumber(lastEventId);
    return number && lastNumber && *number <= *lastNumber;
}

} // namespace

std::string counted_events::parse(std::string chunk)
{
    const std::size_t before = m_scanner.dataEvents();
    m_scanner.scan(chunk);
    m_stream.events += static_cast<std::int64_t>(m_scanner.dataEvents() - before);
    return chunk;
}

std::string parsed_events::parse(const std::string &chunk)
{
    const bool isResumable = m_call.route->isResumable;
    std::string wholeEvents;
    m_reader.feed(chunk);
    while (auto event = m_reader.nextEvent()) {
        if (isResumable && isRepeated(*event, m_call.lastEventId))
            continue;
        if (!event->id.empty())
            m_call.lastEventId = event->id;
        if (isResumable)
            wholeEvents += event->raw;
        if (!event->data)
            continue;
        ++m_stream.events;
        if (!m_call.route->keepsHistory)
            continue;
        m_stream.output += *event->data;
        m_stream.output += '\n';
    }
    return isResumable ? wholeEvents : chunk;
}

std::size_t parsed_events::heldBytes() const
{
    return m_reader.heldBytes() + m_stream.output.capacity() + m_call.lastEventId.capacity();
}

std::string_view parsed_events::unfinished() const
{
    return m_call.route->isResumable ? m_reader.unfinished() : std::string_view();
}

relayed_events makeRelayedEvents(entry_call &call, stream_result &stream)
{
    if (call.route->isResumable || call.route->keepsHistory)
        return parsed_events(call, stream);
    return counted_events(stream);
}

std::string parse(relayed_events &events, std::string chunk)
{
    return std::visit([&chunk](auto &e) { return e.parse(std::move(chunk)); }, events);
}

std::size_t heldBytes(const relayed_events &events)
{
    return std::visit([](const auto &e) { return e.heldBytes(); }, events);
}

bool isEventTooLong(const relayed_events &events)
{
    return std::visit([](const auto &e) { return e.isTooLong(); }, events);
}

std::string_view unfinished(const relayed_events &events)
{
    return std::visit([](const auto &e) { return e.unfinished(); }, events);
}

} // namespace azurehill
