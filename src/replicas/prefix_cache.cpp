#include "replicas/prefix_cache.h"

namespace azurehill {

namespace {

/// Parts remembered before those that are gone are forgotten here as well.
constexpr std::size_t maxParts = 2048;

} // namespace

bool prefix_cache::holds(const prompt_part &part, std::int64_t capacity) const
{
    const auto found = m_usedAt.find(part.id);
    return found != m_usedAt.end() && m_takenIn - found->second <= capacity;
}

std::int64_t prefix_cache::cached(const std::vector<prompt_part> &parts,
                                  std::int64_t capacity) const
{
    std::int64_t tokens = 0;
    for (const prompt_part &part : parts) {
        if (!holds(part, capacity))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache::use(const std::vector<prompt_part> &parts, std::int64_t capacity)
{
    for (const prompt_part &part : parts) {
        if (!holds(part, capacity))
            m_takenIn += part.tokens;
    }
    for (const prompt_part &part : parts)
        m_usedAt[part.id] = m_takenIn;
    if (m_usedAt.size() > maxParts) {
        std::erase_if(m_usedAt,
                      [&](const auto &item) { return m_takenIn - item.second > capacity; });
    }
    if (m_usedAt.size() > maxParts)
        m_usedAt.clear();
}

void prefix_cache::clear()
{
    m_usedAt.clear();
}

} // namespace azurehill
