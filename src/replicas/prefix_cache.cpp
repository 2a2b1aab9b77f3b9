#include "replicas/prefix_cache.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Parts remembered before those that are gone are forgotten here as well.
constexpr std::size_t maxParts = 2048;

} // namespace

std::int64_t prefix_cache::held(const prompt_part &part, std::int64_t capacity) const
{
    const auto found = m_parts.find(part.id);
    const bool isKept = found != m_parts.end() && m_tokensRead - found->second.usedAt <= capacity;
    return isKept ? std::min(part.tokens, found->second.tokens) : 0;
}

std::int64_t prefix_cache::cached(const std::vector<prompt_part> &parts,
                                  std::int64_t capacity) const
{
    std::int64_t tokens = 0;
    for (const prompt_part &part : parts) {
        const std::int64_t kept = held(part, capacity);
        tokens += kept;
        if (kept < part.tokens)
            break;
    }
    return tokens;
}

void prefix_cache::use(const std::vector<prompt_part> &parts, std::int64_t capacity)
{
    for (const prompt_part &part : parts)
        m_tokensRead += part.tokens - held(part, capacity);
    for (const prompt_part &part : parts)
        m_parts[part.id] = {part.tokens, m_tokensRead};
    if (m_parts.size() > maxParts) {
        std::erase_if(m_parts, [&](const auto &item) {
            return m_tokensRead - item.second.usedAt > capacity;
        });
    }
    if (m_parts.size() > maxParts)
        m_parts.clear();
}

void prefix_cache::clear()
{
    m_parts.clear();
}

} // namespace azurehill
