#include "daemon/assistant_message.h"

#include <boost/json.hpp>

#include <string_view>

namespace azurehill {

namespace json = boost::json;

namespace {

/// Most tool calls of one message; an engine that counts on for ever must not fill the memory.
constexpr std::int64_t maxToolCalls = 128;

/// \brief Adds the string member \p name of \p from to \p into, if there is one.
void append(const json::object &from, std::string_view name, std::string &into)
{
    const json::value *part = from.if_contains(name);
    if (part && part->is_string())
        into += part->get_string();
}

} // namespace

void assistant_message::add(const json::object &delta)
{
    append(delta, "content", m_content);
    const json::value *calls = delta.if_contains("tool_calls");
    if (!calls || !calls->is_array())
        return;
    for (const json::value &part : calls->get_array()) {
        if (part.is_object())
            addToolCall(part.get_object());
    }
}

void assistant_message::addToolCall(const json::object &part)
{
    const json::value *index = part.if_contains("index");
    if (!index || !index->is_int64())
        return;
    if (index->get_int64() < 0 || index->get_int64() >= maxToolCalls)
        return;
    tool_call &call = m_toolCalls[index->get_int64()];
    append(part, "id", call.id);
    const json::value *function = part.if_contains("function");
    if (!function || !function->is_object())
        return;
    append(function->get_object(), "name", call.name);
    append(function->get_object(), "arguments", call.arguments);
}

json::object assistant_message::toJson(const tool_call &call)
{
    const json::object function{{"name", call.name}, {"arguments", call.arguments}};
    return {{"id", call.id}, {"type", "function"}, {"function", function}};
}

json::object assistant_message::toJson() const
{
    json::object message{{"role", "assistant"}, {"content", m_content}};
    if (m_toolCalls.empty())
        return message;
    json::array calls;
    for (const auto &[index, call] : m_toolCalls)
        calls.emplace_back(toJson(call));
    message["tool_calls"] = std::move(calls);
    return message;
}

json::object wholeDelta(const json::object &message)
{
    json::object delta = message;
    json::value *calls = delta.if_contains("tool_calls");
    if (!calls || !calls->is_array())
        return delta;
    std::int64_t index = 0;
    for (json::value &call : calls->get_array())
        call.as_object()["index"] = index++;
    return delta;
}

} // namespace azurehill
