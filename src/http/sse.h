#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief One event of a server-sent event stream.
struct sse_event
{
    /// The event's bytes with the blank line that ends it.
    std::string raw;
    /// Empty if the event has none.
    std::string id;
    std::optional<std::string> data;
};

/// \brief Cuts a server-sent event stream into its events. Lines may end in LF or CRLF.
class sse_reader
{
public:
    /// Longest event that is waited for.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    void feed(std::string_view bytes);
    /// \returns the next whole event, or nothing yet. A blank line alone is an event without data.
    std::optional<sse_event> nextEvent();
    /// \returns the data of the next whole event that has any, or nothing yet.
    std::optional<std::string> next();
    /// \returns the bytes of the unfinished event.
    std::string_view unfinished() const { return std::string_view(m_buffer).substr(m_start); }
    /// \returns whether an unfinished event has grown past maxEventBytes.
    bool isTooLong() const { return unfinished().size() > maxEventBytes; }

private:
    void parseLine(std::string_view line);

    std::string m_buffer;
    /// Start of the unfinished event, and of its line that comes next.
    std::size_t m_start = 0;
    std::size_t m_lineStart = 0;
    sse_event m_event;
};

} // namespace azurehill
