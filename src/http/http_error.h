#pragma once

#include "core/outcome.h"

#include <string>

namespace azurehill {

/// \brief Why an HTTP exchange failed.
enum class http_error_kind { ConnectFailed, TimedOut, ConnectionLost, Malformed, Incomplete };

template <>
struct enum_names<http_error_kind>
{
    static constexpr std::array<std::string_view, 5> names
        = {"connect_failed", "timed_out", "connection_lost", "malformed", "incomplete"};
};

/// \brief A failed exchange, and whether the peer may have acted on the request.
struct http_error
{
    http_error_kind kind = http_error_kind::ConnectFailed;
    /// DidNotRun only if no byte of the request was sent.
    outcome ran = outcome::DidNotRun;
    std::string detail;
};

} // namespace azurehill
