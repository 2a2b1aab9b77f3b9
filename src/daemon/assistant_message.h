#pragma once

#include <boost/json/object.hpp>

#include <map>
#include <string>

namespace azurehill {

/// \brief The assistant's message that the deltas of a streamed completion add up to.
///
/// It is what enters the program's history: without its tool calls, the tool's answer in the next
/// turn would have nothing to answer to, and engines refuse such a prompt.
class assistant_message
{
public:
    /// \brief Takes in the "delta" of one chunk; parts of another form are passed over.
    void add(const boost::json::object &delta);
    /// \returns the whole message.
    boost::json::object toJson() const;

private:
    struct tool_call
    {
        std::string id;
        std::string name;
        std::string arguments;
    };

    void addToolCall(const boost::json::object &part);
    static boost::json::object toJson(const tool_call &call);

    std::string m_content;
    std::map<std::int64_t, tool_call> m_toolCalls;
};

/// \returns \p message as the one delta of a stream that holds the whole answer.
boost::json::object wholeDelta(const boost::json::object &message);

} // namespace azurehill
