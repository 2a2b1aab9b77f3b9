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
    bool holds(const prompt_part &part, std::int64_t capacity) const;

    /// Tokens taken in when a part was last used, by the part's id.
    std::unordered_map<std::string, std::int64_t> m_usedAt;
    std::int64_t m_takenIn = 0;
};

} // namespace azurehill
