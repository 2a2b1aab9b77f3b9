#include "entry/call_memory.h"

#include "limits/connection_cost.h"

#include <numeric>
#include <utility>

namespace azurehill {

bool call_memory::tryHold(held_part part, std::size_t bytes)
{
    std::size_t &size = m_parts.at(static_cast<std::size_t>(part));
    const std::size_t before = std::exchange(size, bytes);
    const std::size_t all = std::accumulate(m_parts.begin(), m_parts.end(), std::size_t(0));
    // Each part of a stream changes the size, and the cost of the request covers ordinary ones.
    const std::size_t total = all <= connection_cost::coveredAnswerBytes ? 0 : all;
    if (total == m_accounted || !m_tryHold)
        return true;
    if (!m_tryHold(total)) {
        size = before;
        return false;
    }
    m_accounted = total;
    return true;
}

} // namespace azurehill
