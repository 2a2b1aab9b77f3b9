#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <iterator>

namespace azurehill {

/// \returns whether the transfer codings of the message with \p fields are understood: chunked
/// once, or none.
///
/// The bytes of any other coding would be taken for the body, or for the message that follows.
inline bool hasKnownTransferCoding(const boost::beast::http::fields &fields)
{
    namespace beast = boost::beast;
    const auto [first, last] = fields.equal_range(beast::http::field::transfer_encoding);
    const auto isChunked
        = [](const auto &field) { return beast::iequals(field.value(), "chunked"); };
    return std::distance(first, last) <= 1 && std::all_of(first, last, isChunked);
}

} // namespace azurehill
