#pragma once

#include "http/problem.h"
#include "runtime/notifier.h"

#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief A call's whole answer, once it is durable.
struct call_answer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using call_end = std::variant<call_answer, problem>;

/// \brief The events of one running call, shared by every request that follows it.
///
/// One runner writes; sessions of any thread read from any event on. A caller whose connection
/// broke follows the same call again, so no answer is computed twice or lost with a connection.
class call_stream
{
public:
    explicit call_stream(std::string attempt) : m_attempt(std::move(attempt)) { }

    /// \returns the random id of this run of the call; event ids begin with it.
    const std::string &attempt() const { return m_attempt; }

    /// \brief Adds one event.
    void append(std::string event);
    /// \brief Ends the stream. Only the first end counts.
    void finish(call_end end);

    /// \brief What a reader finds from its place on.
    struct piece
    {
        std::vector<std::string> events;
        std::optional<call_end> end;
    };
    /// \brief Waits until there is something past event \p from.
    awaitable<piece> readFrom(std::size_t from);

private:
    std::optional<piece> tryRead(std::size_t from) const;

    std::string m_attempt;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_events;
    std::optional<call_end> m_end;
    notifier m_changed;
};

} // namespace azurehill
