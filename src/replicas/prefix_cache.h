#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief One part of a prompt. Replicas keep parts in their cache by id.
struct prompt_part
{
    std::string id;
    std::int64_t tokens = 0;
};

/// \brief Which parts of prompts a replica probably still has.
///
/// A replica drops the parts that were not used for longest. This daemon knows what it sent itself;
/// the others send about as much each, so the replica has taken in that many times more.
class prefix_cache
{
public:
    /// \returns tokens at the beginning of the prompt that the replica has.
    /// \param capacity tokens that the replica keeps of what this daemon sends.
    std::int64_t cached(const std::vector<prompt_part> &parts, std::int64_t capacity) const;
    /// \brief The prompt goes to the replica.
    void use(const std::vector<prompt_part> &parts, std::int64_t capacity);
    void clear();

private:
    /// \brief A part as it was sent last.
    struct sent_part
    {
        /// Its tokens: a session's part grows with each turn.
        std::int64_t tokens = 0;
        /// Tokens taken in when it was last used.
        std::int64_t usedAt = 0;
    };

    /// \returns the tokens at the beginning of \p part that the replica has.
    std::int64_t held(const prompt_part &part, std::int64_t capacity) const;

    /// By the part's id.
    std::unordered_map<std::string, sent_part> m_parts;
    std::int64_t m_tokensRead = 0;
};

} // namespace azurehill
