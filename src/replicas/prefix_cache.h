#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief A consecutive part of a prompt. Replicas cache prompts by the ids of their parts.
struct prompt_part
{
    std::string id;
    std::int64_t tokens = 0;
};

/// \brief LRU model of one replica's prefix cache: which prompt parts it probably still holds.
///
/// A replica evicts the least recently used parts. This daemon knows only what it sent itself. The
/// other daemons send about as much each, so the capacity that is passed in here is this daemon's
/// share of the cache.
class prefix_cache
{
public:
    /// \returns the length in tokens of the prompt's cached prefix.
    /// \param capacity tokens that the replica caches of this daemon's prompts.
    std::int64_t cachedPrefixTokens(const std::vector<prompt_part> &parts,
                                    std::int64_t capacity) const;
    /// \brief Records that the prompt is sent to the replica.
    void recordSend(const std::vector<prompt_part> &parts, std::int64_t capacity);
    void clear();
    std::size_t size() const { return m_parts.size(); }
    /// \brief Sets the number of parts above which those that the replica has evicted are removed.
    void setMaxParts(std::size_t count) { m_maxParts = count; }

private:
    /// \brief A prompt part as it was last sent.
    struct sent_part
    {
        /// Length of the part; a session's part grows with each turn.
        std::int64_t tokens = 0;
        /// Value of \c m_tokensRead when the part was last sent.
        std::int64_t usedAt = 0;
    };

    /// \returns the tokens at the beginning of \p part that the replica has cached.
    std::int64_t cachedTokensOf(const prompt_part &part, std::int64_t capacity) const;

    std::size_t m_maxParts = 2048;
    /// By part id.
    std::unordered_map<std::string, sent_part> m_parts;
    /// Uncached tokens that the replica has read for this daemon so far.
    std::int64_t m_tokensRead = 0;
};

} // namespace azurehill
