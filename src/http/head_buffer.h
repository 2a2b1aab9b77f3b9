#pragma once

#include "limits/connection_cost.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace azurehill {

/// \brief Buffer of received bytes that looks at the lines of a head while the parser consumes
/// them, and accounts for the memory of the head and of the bytes that are not parsed.
class head_buffer : public boost::beast::basic_flat_buffer<std::allocator<char>>
{
public:
    /// \brief Function that takes a number of bytes and returns whether they may be held, in place
    /// of those of its last call.
    using hold_function = std::function<bool(std::size_t bytes)>;

    using basic_flat_buffer::basic_flat_buffer;

    /// \brief Sets the account. Without it everything is granted.
    void setAccount(hold_function tryHold);
    /// \returns whether the account has refused anything since it was set.
    bool isRefused() const { return m_isRefused; }

    /// \brief Starts to look at the bytes that are consumed.
    void beginHead();
    /// \brief Stops to look at them, and accounts for the whole head.
    /// \returns whether a line started with white space.
    bool endHead();

    /// \brief Returns space for \p size more bytes.
    /// \throws std::length_error if they exceed max_size() or what the account grants, which a read
    /// turns into an error.
    mutable_buffers_type prepare(std::size_t size);
    /// \brief Removes the first \p size bytes, as the parser does with those that it has read.
    void consume(std::size_t size);

private:
    void scan(std::string_view bytes);
    /// \brief Accounts for the head and a buffer of \p bufferBytes. \returns whether they may be
    /// held.
    bool tryHold(std::size_t bufferBytes);

    hold_function m_tryHold;
    bool m_isRefused = false;
    /// What the parser and its callers hold of the head.
    connection_cost m_cost;
    bool m_isInHead = false;
    bool m_isAtLineStart = false;
    bool m_hasFoldedLine = false;
};

} // namespace azurehill
