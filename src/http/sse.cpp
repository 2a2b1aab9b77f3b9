#include "http/sse.h"

#include <utility>

namespace azurehill {

namespace {

/// Capacity that the buffer keeps while it is empty.
constexpr std::size_t maxSpareBytes = 64U << 10U;

/// \returns the value in \p line if its field name is \p field.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view field)
{
    if (!line.starts_with(field) || line.size() == field.size() || line[field.size()] != ':')
        return std::nullopt;
    line.remove_prefix(field.size() + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace

void sse_reader::feed(std::string_view bytes)
{
    const std::size_t done = std::exchange(m_start, 0);
    m_buffer.erase(0, done);
    m_lineStart -= done;
    // A large event leaves a large buffer behind.
    if (m_buffer.empty() && m_buffer.capacity() > maxSpareBytes)
        m_buffer.shrink_to_fit();
    m_buffer += bytes;
}

std::size_t sse_reader::heldBytes() const
{
    return m_buffer.capacity() + m_event.id.capacity()
        + (m_event.data ? m_event.data->capacity() : 0);
}

void sse_reader::parseLine(std::string_view line)
{
    if (const auto id = fieldValue(line, "id"))
        m_event.id = *id;
    const auto data = fieldValue(line, "data");
    if (!data)
        return;
    if (m_event.data)
        *m_event.data += '\n';
    else
        m_event.data.emplace();
    *m_event.data += *data;
}

std::optional<sse_event> sse_reader::nextEvent()
{
    while (true) {
        const std::size_t end = m_buffer.find('\n', m_lineStart);
        if (end == std::string::npos)
            return std::nullopt;
        std::string_view line = std::string_view(m_buffer).substr(m_lineStart, end - m_lineStart);
        m_lineStart = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty()) {
            parseLine(line);
            continue;
        }
        m_event.raw = m_buffer.substr(m_start, m_lineStart - m_start);
        m_start = m_lineStart;
        return std::exchange(m_event, {});
    }
}

std::optional<std::string> sse_reader::next()
{
    while (auto event = nextEvent()) {
        if (event->data)
            return std::move(event->data);
    }
    return std::nullopt;
}

} // namespace azurehill
