#include "http/event_stream_scanner.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr std::string_view dataField = "data:";

} // namespace

void event_stream_scanner::scan(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t length = std::min(bytes.find('\n'), bytes.size());
        const std::string_view line = bytes.substr(0, length);
        if (!line.empty()) {
            if (!m_isInsideLine)
                m_isComment = line.starts_with(':');
            m_isInsideLine = true;
            matchName(line);
            // A blank line consists of its line end only, which may be CRLF.
            m_isBlank = m_isBlank && line == "\r";
        }
        if (length == bytes.size())
            return;
        endLine();
        bytes.remove_prefix(length + 1);
    }
}

void event_stream_scanner::matchName(std::string_view bytes)
{
    if (m_isOtherName)
        return;
    const std::string_view rest = dataField.substr(m_matched);
    const std::string_view next = bytes.substr(0, rest.size());
    m_isOtherName = !rest.starts_with(next);
    m_matched += next.size();
}

void event_stream_scanner::endLine()
{
    if (m_isBlank) {
        m_events += m_hasField ? 1 : 0;
        m_dataEvents += m_hasData ? 1 : 0;
        m_hasField = false;
        m_hasData = false;
    } else if (!m_isComment) {
        m_hasField = true;
        m_hasData = m_hasData || (!m_isOtherName && m_matched == dataField.size());
    }
    m_matched = 0;
    m_isOtherName = false;
    m_isInsideLine = false;
    m_isBlank = true;
    m_isComment = false;
}

} // namespace azurehill
