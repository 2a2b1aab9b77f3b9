#include "http/event_stream_scanner.h"

#include <algorithm>

namespace azurehill {

void event_stream_scanner::scan(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t length = std::min(bytes.find('\n'), bytes.size());
        const std::string_view line = bytes.substr(0, length);
        if (!line.empty()) {
            if (!m_isInsideLine)
                m_isComment = line.starts_with(':');
            m_isInsideLine = true;
            // A blank line consists of its line end only, which may be CRLF.
            m_isBlank = m_isBlank && line == "\r";
        }
        if (length == bytes.size())
            return;
        endLine();
        bytes.remove_prefix(length + 1);
    }
}

void event_stream_scanner::endLine()
{
    if (m_isBlank) {
        m_events += m_hasField ? 1 : 0;
        m_hasField = false;
    } else if (!m_isComment) {
        m_hasField = true;
    }
    m_isInsideLine = false;
    m_isBlank = true;
    m_isComment = false;
}

} // namespace azurehill
