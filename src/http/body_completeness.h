#pragma once

#include "http/body_framing.h"
#include "http/event_stream_scanner.h"

#include <string_view>

namespace azurehill {

/// \brief How the body of a response ended.
enum class body_end {
    /// The whole body was received, as far as its framing and its syntax can show.
    Complete,
    /// The connection ended before the announced length or the last chunk.
    CutShort,
    /// An event stream ended inside an event.
    InsideEvent,
    /// The body ended with its connection before the whole request was written. A reset of the
    /// connection is reported to one operation only: if the write gets it, the read sees an orderly
    /// end.
    BeforeRequest,
    /// An event stream ended with its connection before its first event.
    WithoutEvent
};

template <>
struct enum_names<body_end>
{
    static constexpr std::array<std::string_view, 5> names
        = {"complete", "cut_short", "inside_event", "before_request", "without_event"};
};

/// \brief What the bytes of a body show about its end.
enum class body_syntax {
    /// Nothing.
    Opaque,
    /// A server-sent event stream, which can only end between two events.
    EventStream
};

/// \brief Decides how a response body ended. All bodies that the daemon reads are judged here.
///
/// The end of the framing alone does not make a body complete: a peer that fails may close its
/// connection in an orderly way, or end its chunks, in the middle of what it wanted to send.
class body_completeness
{
public:
    body_completeness(body_framing framing, body_syntax syntax)
        : m_framing(framing), m_syntax(syntax)
    { }

    body_framing framing() const { return m_framing; }
    /// \brief Takes the next bytes of the body into account.
    void onBytes(std::string_view bytes);
    /// \param isFramingAtEnd whether the length, the last chunk or an orderly end of the connection
    /// was reached, whichever delimits the body.
    /// \param isRequestWritten whether the whole request was written by then.
    /// \returns how the body ended, after its last bytes.
    body_end endOfBody(bool isFramingAtEnd, bool isRequestWritten) const;

private:
    body_framing m_framing;
    body_syntax m_syntax;
    event_stream_scanner m_events;
};

/// \returns the syntax of a body with \p contentType, the value of the header of that name.
/// \param fallback the syntax of a body without Content-Type.
body_syntax syntaxOf(std::string_view contentType, body_syntax fallback);

} // namespace azurehill
