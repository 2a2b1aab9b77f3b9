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
    /// \returns the number of complete events that have data.
    std::size_t dataEvents() const { return m_dataEvents; }

private:
    /// \brief Compares the next bytes of the line with the name of the data field.
    void matchName(std::string_view bytes);
    void endLine();

    bool m_isInsideLine = false;
    /// Properties of the unfinished line.
    bool m_isBlank = true;
    bool m_isComment = false;
    /// Number of its bytes that begin the name of the data field, if all so far do.
    std::size_t m_matched = 0;
    bool m_isOtherName = false;
    /// Whether the unfinished event has a complete line with a field.
    bool m_hasField = false;
    /// Whether it has a complete line with data.
    bool m_hasData = false;
    std::size_t m_events = 0;
    std::size_t m_dataEvents = 0;
};

} // namespace azurehill
