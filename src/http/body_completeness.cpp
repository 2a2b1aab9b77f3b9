#include "http/body_completeness.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace azurehill {

void body_completeness::onBytes(std::string_view bytes)
{
    if (m_syntax == body_syntax::EventStream)
        m_events.scan(bytes);
}

body_end body_completeness::endOfBody(bool isFramingAtEnd, bool isRequestWritten) const
{
    if (!isFramingAtEnd)
        return body_end::CutShort;
    if (m_events.isInsideEvent())
        return body_end::InsideEvent;
    if (m_framing != body_framing::Connection)
        return body_end::Complete;
    if (!isRequestWritten)
        return body_end::BeforeRequest;
    const bool isStream = m_syntax == body_syntax::EventStream;
    return isStream && m_events.events() == 0 ? body_end::WithoutEvent : body_end::Complete;
}

body_syntax syntaxOf(std::string_view contentType, body_syntax fallback)
{
    if (contentType.empty())
        return fallback;
    const std::string_view mediaType = contentType.substr(0, contentType.find(';'));
    const bool isEventStream
        = boost::algorithm::iequals(boost::algorithm::trim_copy(mediaType), "text/event-stream");
    return isEventStream ? body_syntax::EventStream : body_syntax::Opaque;
}

} // namespace azurehill
