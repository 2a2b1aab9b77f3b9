#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace azurehill::test {

/// \brief A request at a modelled engine.
struct engine_request
{
    std::uint64_t number = 0;
    /// The beginning that many programs share, and the session whose history follows it.
    std::string shared;
    std::string session;
    std::int64_t sharedTokens = 0;
    std::int64_t historyTokens = 0;
    std::int64_t newTokens = 0;
    std::int64_t outputTokens = 0;
};

/// \brief What a modelled engine tells of a request.
struct engine_event
{
    std::uint64_t number = 0;
    bool isFirstToken = false;
    bool isEnd = false;
};

/// \brief A model engine: batches of a bounded size, one token a step for each request in it,
/// prompts read between the steps, and a cache of histories in what the running requests leave of
/// its memory.
class engine_model
{
public:
    struct engine_parameters
    {
        std::size_t slots = 16;
        double stepMs = 3.17;
        double readTokensPerMs = 85.6;
        double chunkTokens = 2048;
        std::int64_t memoryTokens = 123'284;
    };

    explicit engine_model(const engine_parameters &figures) : m_figures(figures) { }

    void add(const engine_request &request) { m_waiting.push_back({request, 0, 0, false}); }

    /// \brief Lets a millisecond pass. \returns the first tokens and the ends in it.
    std::vector<engine_event> passMillisecond()
    {
        std::vector<engine_event> news;
        m_msLeftInStep -= 1;
        while (m_msLeftInStep <= 0) {
            finishStep(news);
            admit();
            if (m_running.empty()) {
                m_msLeftInStep = 0;
                break;
            }
            m_msLeftInStep += beginStep();
        }
        return news;
    }

    /// Prompt tokens read, and those of them that were new.
    std::int64_t readTokens = 0;
    std::int64_t newTokens = 0;

private:
    struct running_request
    {
        engine_request request;
        double unread = 0;
        std::int64_t made = 0;
        bool hasBegun = false;
    };
    struct cached_part
    {
        std::int64_t tokens = 0;
        std::int64_t usedAt = 0;
    };

    static std::int64_t tokensOf(const running_request &r)
    {
        return r.request.sharedTokens + r.request.historyTokens + r.request.newTokens + r.made;
    }
    std::int64_t cachedOf(const std::string &name) const
    {
        const auto found = m_cache.find(name);
        return found == m_cache.end() ? 0 : found->second.tokens;
    }
    void admit()
    {
        while (!m_waiting.empty() && m_running.size() < m_figures.slots) {
            running_request r = m_waiting.front();
            m_waiting.pop_front();
            const std::int64_t shared
                = std::min(cachedOf(r.request.shared), r.request.sharedTokens);
            const bool hasShared = shared == r.request.sharedTokens;
            const std::int64_t history
                = hasShared ? std::min(cachedOf(r.request.session), r.request.historyTokens) : 0;
            r.unread = double(r.request.sharedTokens - shared + r.request.historyTokens - history
                              + r.request.newTokens);
            readTokens += std::int64_t(r.unread);
            newTokens += r.request.newTokens;
            m_running.push_back(r);
        }
    }
    double beginStep()
    {
        double chunk = m_figures.chunkTokens;
        double read = 0;
        for (running_request &r : m_running) {
            const double part = std::min(chunk, r.unread);
            r.unread -= part;
            chunk -= part;
            read += part;
        }
        return m_figures.stepMs + read / m_figures.readTokensPerMs;
    }
    void finishStep(std::vector<engine_event> &news)
    {
        for (running_request &r : m_running) {
            if (r.unread > 0)
                continue;
            ++r.made;
            if (!r.hasBegun)
                news.push_back({r.request.number, true, false});
            r.hasBegun = true;
            if (r.made < r.request.outputTokens)
                continue;
            news.push_back({r.request.number, false, true});
            keep(r);
        }
        std::erase_if(m_running,
                      [](const running_request &r) { return r.made >= r.request.outputTokens; });
    }
    void keep(const running_request &r)
    {
        m_cache[r.request.shared] = {r.request.sharedTokens, ++m_clock};
        m_cache[r.request.session] = {tokensOf(r) - r.request.sharedTokens, ++m_clock};
        std::int64_t used = 0;
        for (const running_request &other : m_running)
            used += tokensOf(other);
        for (const auto &[name, part] : m_cache)
            used += part.tokens;
        while (used > m_figures.memoryTokens && !m_cache.empty()) {
            const auto oldest = std::min_element(
                m_cache.begin(), m_cache.end(),
                [](const auto &a, const auto &b) { return a.second.usedAt < b.second.usedAt; });
            used -= oldest->second.tokens;
            m_cache.erase(oldest);
        }
    }

    engine_parameters m_figures;
    std::deque<running_request> m_waiting;
    std::vector<running_request> m_running;
    std::map<std::string, cached_part> m_cache;
    std::int64_t m_clock = 0;
    double m_msLeftInStep = 0;
};

} // namespace azurehill::test
