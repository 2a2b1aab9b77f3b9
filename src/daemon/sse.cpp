#include "daemon/sse.h"

namespace azurehill {

std::optional<std::string> sse_reader::next()
{
    constexpr std::string_view prefix = "data: ";
    const std::size_t end = m_buffer.find("\n\n");
    if (end == std::string::npos)
        return std::nullopt;
    std::string data;
    std::string_view event = std::string_view(m_buffer).substr(0, end);
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.starts_with(prefix))
            data += line.substr(prefix.size());
    }
    m_buffer.erase(0, end + 2);
    return data;
}

} // namespace azurehill
