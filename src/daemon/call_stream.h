#pragma once

#include "http/problem.h"
#include "runtime/notifier.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
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

/// \brief Set once the peer of a reader has gone.
using gone_flag = std::shared_ptr<std::atomic<bool>>;

/// \brief The events of one running call, shared by every request that follows it.
///
/// One runner writes; sessions of any thread read from any event on. A caller whose connection
/// broke follows the same call again, so no answer is computed twice or lost with a connection.
/// The events are held once, whatever the number of readers and however slowly they read: a reader
/// holds no more than one piece, so it neither grows memory nor stops the engine for the others.
class call_stream
{
public:
    /// Most bytes of events that one call may have, so that an engine that goes on for ever ends.
    static constexpr std::size_t maxBytes = 16U << 20U;
    /// Most bytes that a reader is given at once, unless a single event is longer.
    static constexpr std::size_t maxPiece = 64U << 10U;

    explicit call_stream(std::string attempt) : m_attempt(std::move(attempt)) { }

    /// \returns the random id of this run of the call; event ids begin with it.
    const std::string &attempt() const { return m_attempt; }

    /// \brief Adds one event with \p data. Readers wait until publish(), so that events which came
    /// together wake them once.
    /// \returns whether there was room for it.
    bool append(std::string_view data);
    /// \brief Wakes the readers.
    void publish() { m_changed.notifyAll(); }
    /// \brief Ends the stream. Only the first end counts.
    void finish(call_end end);

    /// \brief What a reader finds from its place on.
    struct piece
    {
        /// Whole events, ready to be sent.
        std::string bytes;
        /// Place of the first event after them.
        std::size_t next = 0;
        /// Set once these are the last events.
        std::shared_ptr<const call_end> end;
        /// Whether the reader's peer has gone.
        bool abandoned = false;
    };
    /// \brief Waits until there is something past event \p from, or \p gone is set and publish()
    /// was called.
    awaitable<piece> readFrom(std::size_t from, gone_flag gone = nullptr);
    /// \brief Waits for the end without reading events. \returns nothing if \p gone is set first.
    awaitable<std::shared_ptr<const call_end>> waitForEnd(gone_flag gone = nullptr);

private:
    bool tryRead(std::size_t from, piece &p) const;
    std::shared_ptr<const call_end> end() const;

    std::string m_attempt;
    mutable std::mutex m_mutex;
    std::string m_bytes;
    /// Where each event ends in m_bytes.
    std::vector<std::size_t> m_ends;
    std::shared_ptr<const call_end> m_end;
    notifier m_changed;
};

} // namespace azurehill
