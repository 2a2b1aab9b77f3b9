#pragma once

#include "core/enum_names.h"
#include "http/http_server.h"

#include <string>

namespace azurehill::standin {

/// \brief When the process of a replica ends that runs a marked request.
enum class end_stage {
    BeforeHead,
    InsideBody,
    BetweenEvents,
    /// The caller has the whole answer.
    AfterAnswer
};

/// \returns a handler that plays a replica of the users' platform named \p id.
///
/// A path that begins with "/events" is answered with a stream of events, any other one with a
/// plain body. A request whose query has "end=STAGE" ends the process at that stage. Requests for
/// another replica are answered with 421.
request_handler makeReplica(const std::string &id);

} // namespace azurehill::standin

namespace azurehill {

template <>
struct enum_names<standin::end_stage>
{
    static constexpr std::array<std::string_view, 4> names
        = {"before_head", "inside_body", "between_events", "after_answer"};
};

} // namespace azurehill
