#include "http/head_buffer.h"

#include <algorithm>

namespace azurehill {

void head_buffer::beginHead()
{
    m_isInHead = true;
    m_isAtLineStart = true;
    m_hasFoldedLine = false;
}

bool head_buffer::endHead()
{
    m_isInHead = false;
    return m_hasFoldedLine;
}

void head_buffer::consume(std::size_t size)
{
    if (m_isInHead)
        scan({static_cast<const char *>(data().data()), std::min(size, this->size())});
    basic_flat_buffer::consume(size);
}

void head_buffer::scan(std::string_view bytes)
{
    for (const char c : bytes) {
        const bool isWhiteSpace = c == ' ' || c == '\t';
        m_hasFoldedLine = m_hasFoldedLine || (m_isAtLineStart && isWhiteSpace);
        m_isAtLineStart = c == '\n';
    }
}

} // namespace azurehill
