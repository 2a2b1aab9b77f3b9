#pragma once

#include "core/enum_names.h"

namespace azurehill {

/// \brief What delimits the body of a response (RFC 9112, section 6.3).
enum class body_framing {
    /// The response has no body.
    None,
    /// Content-Length.
    Length,
    /// The last chunk of the chunked transfer coding.
    Chunked,
    /// The end of the connection.
    Connection
};

template <>
struct enum_names<body_framing>
{
    static constexpr std::array<std::string_view, 4> names
        = {"none", "length", "chunked", "connection"};
};

} // namespace azurehill
