#include "replicas/prefix_cache.h"

#include <algorithm>

namespace azurehill {

std::int64_t prefix_cache::cachedTokensOf(const prompt_part &part, std::int64_t capacity) const
{
    const auto found = m_parts.find(part.id);
    const bool isCached = found != m_parts.end() && m_tokensRead - found->second.usedAt <= capacity;
    return isCached ? std::min(part.tokens, found->second.tokens) : 0;
}

std::int64_t prefix_cache::cachedPrefixTokens(const std::vector<prompt_part> &parts,
                                              std::int64_t capacity) const
{
    std::int64_t tokens = 0;
    for (const prompt_part &part : parts) {
        const std::int64_t partTokens = cachedTokensOf(part, capacity);
        tokens += partTokens;
        if (partTokens < part.tokens)
            break;
    }
    return tokens;
}

void prefix_cache::recordSend(const std::vector<prompt_part> &parts, std::int64_t capacity)
{
    for (const prompt_part &part : parts)
        m_tokensRead += part.tokens - cachedTokensOf(part, capacity);
    // A part without tokens would never be evicted.
    for (const prompt_part &part : parts) {
        if (part.tokens > 0)
            m_parts[part.id] = {part.tokens, m_tokensRead};
    }
    if (m_parts.size() > m_maxParts) {
        std::erase_if(m_parts, [&](const auto &item) {
            return m_tokensRead - item.second.usedAt > capacity;
        });
    }
    if (m_parts.size() > m_maxParts)
        m_parts.clear();
}

void prefix_cache::clear()
{
    m_parts.clear();
}

} // namespace azurehill
