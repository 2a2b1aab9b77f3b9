#include "http/sse.h"

#include <utility>

namespace azurehill {

namespace {

/// \returns the value of \p line if it is a line of \p field.
std::optional<std::string_view> valueOf(std::string_view line, std::string_view field)
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
    m_place -= done;
    m_buffer += bytes;
}

void sse_reader::takeLine(std::string_view line)
{
    if (const auto id = valueOf(line, "id"))
        m_event.id = *id;
    const auto data = valueOf(line, "data");
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
        const std::size_t end = m_buffer.find('\n', m_place);
        if (end == std::string::npos)
            return std::nullopt;
        std::string_view line = std::string_view(m_buffer).substr(m_place, end - m_place);
        m_place = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty()) {
            takeLine(line);
            continue;
        }
        m_event.raw = m_buffer.substr(m_start, m_place - m_start);
        m_start = m_place;
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
