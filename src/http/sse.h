#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief One event of a server-sent event stream.
struct sse_event
{
    /// The event's bytes, including the blank line that ends it.
    std::string raw;
    /// Empty if the event has no id.
    std::string id;
    std::optional<std::string> data;
};

/// \brief Incremental parser of a server-sent event stream. Lines may end in LF or CRLF.
class sse_reader
{
public:
    /// Size beyond which isTooLong() reports an unfinished event.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    void feed(std::string_view bytes);
    /// \returns the next complete event, or nothing if more bytes are needed. A blank line alone is
    /// an event without data.
    std::optional<sse_event> nextEvent();
    /// \returns the data of the next complete event that has any, or nothing if more bytes are
    /// needed.
    std::optional<std::string> next();
    /// \returns the bytes of the unfinished event.
    std::string_view unfinished() const { return std::string_view(m_buffer).substr(m_start); }
    /// \returns the memory that the reader holds.
    std::size_t heldBytes() const;
    /// \returns whether the unfinished event is larger than maxEventBytes.
    bool isTooLong() const { return unfinished().size() > maxEventBytes; }

private:
    void parseLine(std::string_view line);

    std::string m_buffer;
    /// Positions in m_buffer: start of the unfinished event, and of its next line to parse.
    std::size_t m_start = 0;
    std::size_t m_lineStart = 0;
    sse_event m_event;
};

} // namespace azurehill
