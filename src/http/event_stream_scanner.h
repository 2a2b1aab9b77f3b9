#pragma once

#include <cstddef>
#include <string_view>

namespace azurehill {

/// \brief Finds the boundaries of events in a server-sent event stream without storing its bytes.
/// Lines may end in LF or CRLF.
class event_stream_scanner
{
public:
    /// \brief Scans the next bytes of the stream.
    void scan(std::string_view bytes);

    /// \returns whether the stream, if it ended here, would end inside a line or inside an event.
    /// Complete comment lines belong to no event.
    bool isInsideEvent() const { return m_isInsideLine || m_hasField; }
    /// \returns the number of complete events that have a field.
    std::size_t events() const { return m_events; }

private:
    void endLine();

    bool m_isInsideLine = false;
    /// Properties of the unfinished line.
    bool m_isBlank = true;
    bool m_isComment = false;
    /// Whether the unfinished event has a complete line with a field.
    bool m_hasField = false;
    std::size_t m_events = 0;
};

} // namespace azurehill
