#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Cuts a server-sent event stream into the data of its events.
class sse_reader
{
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }
    /// \returns the data of the next whole event, or nothing yet.
    std::optional<std::string> next();

private:
    std::string m_buffer;
};

} // namespace azurehill
