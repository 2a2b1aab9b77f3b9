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
    /// Id of the prompt prefix that many programs share, and of the session whose history follows
    /// it.
    std::string shared;
    std::string session;
    std::int64_t sharedTokens = 0;
    std::int64_t historyTokens = 0;
    std::int64_t newTokens = 0;
    std::int64_t outputTokens = 0;
};

/// \brief First token or end of a request at a modelled engine.
struct engine_event
{
    std::uint64_t number = 0;
    bool isFirstToken = false;
    bool isEnd = false;
};

/// \brief Model of an inference engine with continuous batching: a bounded batch, one token per
/// step for each request in it, chunked prefill between the steps, and an LRU prefix cache in the
/// memory that the running requests leave free.
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

    explicit engine_model(const engine_parameters &parameters) : m_parameters(parameters) { }

    void add(const engine_request &request) { m_waiting.push_back({request, 0, 0, false}); }

    /// \brief Advances by a millisecond. \returns the first tokens and ends in that time.
    std::vector<engine_event> advanceMillisecond()
    {
        std::vector<engine_event> events;
        m_msLeftInStep -= 1;
        while (m_msLeftInStep <= 0) {
            finishStep(events);
            admit();
            if (m_running.empty()) {
                m_msLeftInStep = 0;
                break;
            }
            m_msLeftInStep += beginStep();
        }
        return events;
    }

    /// Prompt tokens read, and the new prompt tokens among them.
    std::int64_t readTokens = 0;
    std::int64_t newTokens = 0;

private:
    struct running_request
    {
        engine_request request;
        double unread = 0;
        std::int64_t outputTokensMade = 0;
        bool hasFirstToken = false;
    };
    struct cached_prefix
    {
        std::int64_t tokens = 0;
        std::int64_t usedAt = 0;
    };

    static std::int64_t tokensOf(const running_request &r)
    {
        return r.request.sharedTokens + r.request.historyTokens + r.request.newTokens
            + r.outputTokensMade;
    }
    std::int64_t cachedOf(const std::string &name) const
    {
        const auto found = m_cache.find(name);
        return found == m_cache.end() ? 0 : found->second.tokens;
    }
    void admit()
    {
        while (!m_waiting.empty() && m_running.size() < m_parameters.slots) {
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
        double chunk = m_parameters.chunkTokens;
        double read = 0;
        for (running_request &r : m_running) {
            const double tokens = std::min(chunk, r.unread);
            r.unread -= tokens;
            chunk -= tokens;
            read += tokens;
        }
        return m_parameters.stepMs + read / m_parameters.readTokensPerMs;
    }
    void finishStep(std::vector<engine_event> &events)
    {
        for (running_request &r : m_running) {
            if (r.unread > 0)
                continue;
            ++r.outputTokensMade;
            if (!r.hasFirstToken)
                events.push_back({r.request.number, true, false});
            r.hasFirstToken = true;
            if (r.outputTokensMade < r.request.outputTokens)
                continue;
            events.push_back({r.request.number, false, true});
            cacheRequest(r);
        }
        std::erase_if(m_running, [](const running_request &r) {
            return r.outputTokensMade >= r.request.outputTokens;
        });
    }
    void cacheRequest(const running_request &r)
    {
        m_cache[r.request.shared] = {r.request.sharedTokens, ++m_useCount};
        m_cache[r.request.session] = {tokensOf(r) - r.request.sharedTokens, ++m_useCount};
        std::int64_t used = 0;
        for (const running_request &other : m_running)
            used += tokensOf(other);
        for (const auto &[name, prefix] : m_cache)
            used += prefix.tokens;
        while (used > m_parameters.memoryTokens && !m_cache.empty()) {
            const auto oldest = std::min_element(
                m_cache.begin(), m_cache.end(),
                [](const auto &a, const auto &b) { return a.second.usedAt < b.second.usedAt; });
            used -= oldest->second.tokens;
            m_cache.erase(oldest);
        }
    }

    engine_parameters m_parameters;
    std::deque<running_request> m_waiting;
    std::vector<running_request> m_running;
    std::map<std::string, cached_prefix> m_cache;
    std::int64_t m_useCount = 0;
    double m_msLeftInStep = 0;
};

} // namespace azurehill::test
