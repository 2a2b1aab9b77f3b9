#pragma once

#include "entry/entry_call.h"
#include "entry/stream_result.h"
#include "http/event_stream_scanner.h"
#include "http/sse.h"

#include <string>
#include <string_view>
#include <variant>

namespace azurehill {

/// \brief Events of a stream that are passed on as they come, and counted. Nothing of them is held.
class counted_events
{
public:
    explicit counted_events(stream_result &stream) : m_stream(stream) { }

    std::string parse(std::string chunk);
    std::size_t heldBytes() const { return 0; }
    bool isTooLong() const { return false; }
    std::string_view unfinished() const { return {}; }

private:
    stream_result &m_stream;
    event_stream_scanner m_scanner;
};

/// \brief Events of a stream that may be resumed, or of a turn that is kept.
///
/// A stream that may be resumed is passed on in whole events, so that its continuation starts at an
/// event. The data of a kept turn are its output.
class parsed_events
{
public:
    parsed_events(entry_call &call, stream_result &stream) : m_call(call), m_stream(stream) { }

    std::string parse(const std::string &chunk);
    std::size_t heldBytes() const;
    bool isTooLong() const { return m_reader.isTooLong(); }
    std::string_view unfinished() const;

private:
    entry_call &m_call;
    stream_result &m_stream;
    sse_reader m_reader;
};

/// \brief Events of one send, which are added to the result of their stream.
using relayed_events = std::variant<counted_events, parsed_events>;

/// \returns the parser for the events of an answer to \p call. It keeps references to both.
relayed_events makeRelayedEvents(entry_call &call, stream_result &stream);

/// \brief Adds the events that end in \p chunk to the result of the stream.
/// \returns the bytes to send to the client now.
std::string parse(relayed_events &events, std::string chunk);
/// \returns the memory that is held for the stream, in bytes.
std::size_t heldBytes(const relayed_events &events);
/// \returns whether the unfinished event is too large to be one.
bool isEventTooLong(const relayed_events &events);
/// \returns the bytes that were received and not passed on.
std::string_view unfinished(const relayed_events &events);

} // namespace azurehill
