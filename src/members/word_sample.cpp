#include "members/word_sample.h"

namespace azurehill {

namespace {

/// Words older than this say little of a demand that follows bursts of some seconds. In this time
/// some 36 messages come, six a round, of as many daemons where there are many.
constexpr duration mostAge = milliseconds(1200);

} // namespace

void word_sample::onHeard(const daemon_id &member, concurrency_reports words,
                          replica_reports replicas, time_point now)
{
    m_heard[member] = {std::move(words), std::move(replicas), now};
}

void word_sample::expire(time_point now)
{
    std::erase_if(m_heard, [now](const auto &item) { return now - item.second.at > mostAge; });
}

std::vector<concurrency_reports> word_sample::heard() const
{
    std::vector<concurrency_reports> all;
    all.reserve(m_heard.size());
    for (const auto &[member, heard] : m_heard)
        all.push_back(heard.words);
    return all;
}

std::vector<replica_reports> word_sample::heardOfReplicas() const
{
    std::vector<replica_reports> all;
    for (const auto &[member, heard] : m_heard) {
        if (!heard.replicas.empty())
            all.push_back(heard.replicas);
    }
    return all;
}

} // namespace azurehill
