#pragma once

#include "core/outcome.h"

#include <string>

namespace azurehill {

/// \brief How an exchange with an HTTP peer failed.
enum class http_error_kind { ConnectFailed, TimedOut, ConnectionLost, Malformed };

template <>
struct enum_names<http_error_kind>
{
    static constexpr std::array<std::string_view, 4> names
        = {"connect_failed", "timed_out", "connection_lost", "malformed"};
};

/// \brief A failed exchange, and whether the peer may have acted on the request.
struct http_error
{
    http_error_kind kind = http_error_kind::ConnectFailed;
    /// DidNotRun only while no byte of the request had left.
    outcome ran = outcome::DidNotRun;
    std::string detail;
};

} // namespace azurehill
