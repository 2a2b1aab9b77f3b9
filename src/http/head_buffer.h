#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace azurehill {

/// \brief Buffer of received bytes that looks at the lines of a head while the parser consumes
/// them.
class head_buffer : public boost::beast::basic_flat_buffer<std::allocator<char>>
{
public:
    using basic_flat_buffer::basic_flat_buffer;

    /// \brief Starts to look at the bytes that are consumed.
    void beginHead();
    /// \brief Stops to look at them. \returns whether a line started with white space.
    bool endHead();

    /// \brief Removes the first \p size bytes, as the parser does with those that it has read.
    void consume(std::size_t size);

private:
    void scan(std::string_view bytes);

    bool m_isInHead = false;
    bool m_isAtLineStart = false;
    bool m_hasFoldedLine = false;
};

} // namespace azurehill
