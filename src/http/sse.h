#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Cuts a server-sent event stream into the data of its events. Lines may end in LF or CRLF.
class sse_reader
{
public:
    /// Longest event that is waited for.
    static constexpr std::size_t maxEvent = 1U << 20U;

    void feed(std::string_view bytes);
    /// \returns the data of the next whole event that has any, or nothing yet.
    std::optional<std::string> next();
    /// \returns whether an unfinished event has grown past maxEvent.
    bool isTooLong() const { return m_buffer.size() - m_place > maxEvent; }

private:
    std::string m_buffer;
    /// Start of the line that comes next.
    std::size_t m_place = 0;
    /// Data lines of the unfinished event.
    std::string m_data;
    bool m_hasData = false;
};

} // namespace azurehill
