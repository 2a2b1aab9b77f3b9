#pragma once

#include "core/enum_names.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace azurehill {

/// \brief What the head of a response is to the request that it follows.
enum class head_verdict {
    /// The head of the response.
    Final,
    /// The head of an interim response, which another head follows.
    Interim,
    /// The status is none of those from 100 to 599 (RFC 9110, section 15).
    InvalidStatus,
    /// The peer switches to another protocol, although no request asks for that.
    UnrequestedUpgrade,
    /// A line of the head starts with white space. It may continue the line before it, or be a
    /// field whose name is damaged (RFC 9112, section 5.2).
    FoldedLine,
    /// The body is in a transfer coding that is not understood.
    UnknownTransferCoding
};

template <>
struct enum_names<head_verdict>
{
    static constexpr std::array<std::string_view, 6> names
        = {"final",          "interim",
           "invalid_status", "unrequested_upgrade",
           "folded_line",    "unknown_transfer_coding"};
};

/// \brief Decides what the head of a response is. All heads that the daemon reads are judged here.
///
/// The parser rejects what it can't read. What it can read may still be none that a response can
/// have, and then nothing else that it says can be trusted.
/// \param head the parsed head.
/// \param hasFoldedLine whether a line of it starts with white space. The parser appends such a
/// line to the one before.
head_verdict judgeHead(const boost::beast::http::response_header<> &head, bool hasFoldedLine);

} // namespace azurehill
