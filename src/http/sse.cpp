#include "http/sse.h"

#include <utility>

namespace azurehill {

void sse_reader::feed(std::string_view bytes)
{
    m_buffer.erase(0, std::exchange(m_place, 0));
    m_buffer += bytes;
}

std::optional<std::string> sse_reader::next()
{
    constexpr std::string_view field = "data:";
    while (true) {
        const std::size_t end = m_buffer.find('\n', m_place);
        if (end == std::string::npos)
            return std::nullopt;
        std::string_view line = std::string_view(m_buffer).substr(m_place, end - m_place);
        m_place = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty() && std::exchange(m_hasData, false))
            return std::exchange(m_data, {});
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (std::exchange(m_hasData, true))
            m_data += '\n';
        m_data += line;
    }
}

} // namespace azurehill
