#include "http/head_buffer.h"

#include <algorithm>
#include <stdexcept>

namespace azurehill {

void head_buffer::setAccount(hold_function tryHold)
{
    m_tryHold = std::move(tryHold);
    m_isRefused = false;
}

bool head_buffer::tryHold(std::size_t bufferBytes)
{
    m_cost.bufferBytes = bufferBytes;
    const auto bytes = static_cast<std::size_t>(m_cost.peerBytes() - connection_cost::idleBytes);
    m_isRefused = m_isRefused || (m_tryHold && !m_tryHold(bytes));
    return !m_isRefused;
}

void head_buffer::beginHead()
{
    m_isInHead = true;
    m_isAtLineStart = true;
    m_hasFoldedLine = false;
    m_cost = {};
}

bool head_buffer::endHead()
{
    m_isInHead = false;
    tryHold(capacity());
    return m_hasFoldedLine;
}

head_buffer::mutable_buffers_type head_buffer::prepare(std::size_t size)
{
    const std::size_t needed = this->size() + size;
    // The buffer grows by doubling its capacity. The head grows without it, as the parser consumes
    // each field when it is whole.
    const std::size_t grown = needed <= capacity() ? capacity() : std::max(needed, 2 * capacity());
    if (!tryHold(std::min(grown, max_size())))
        throw std::length_error("no memory is left for the answer");
    return basic_flat_buffer::prepare(size);
}

void head_buffer::consume(std::size_t size)
{
    if (m_isInHead)
        scan({static_cast<const char *>(data().data()), std::min(size, this->size())});
    basic_flat_buffer::consume(size);
}

void head_buffer::scan(std::string_view bytes)
{
    m_cost.headBytes += bytes.size();
    for (const char c : bytes) {
        const bool isWhiteSpace = c == ' ' || c == '\t';
        m_hasFoldedLine = m_hasFoldedLine || (m_isAtLineStart && isWhiteSpace);
        m_isAtLineStart = c == '\n';
        m_cost.fields += m_isAtLineStart ? 1 : 0;
    }
}

} // namespace azurehill
