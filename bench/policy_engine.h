#pragma once

#include "sched/sched.h"

#include <map>
#include <utility>

namespace azurehill::bench {

/// \brief Rates and sizes of the engine model; all replicas are alike.
struct engine_traits
{
    double prefillTokensPerSecond = 6000;
    /// A batch of b calls gives decodeMost * b / (b + decodeHalf) tokens a second.
    double decodeMost = 1600;
    double decodeHalf = 16;
    std::size_t slots = 16;
    /// Memory for the prompts and answers of running calls and the cache together.
    std::int64_t memoryTokens = 128'000;

    double fullDecode() const { return decodeMost * double(slots) / (double(slots) + decodeHalf); }
};

struct engine_call
{
    call_number number = 0;
    int daemon = 0;
    std::int64_t priority = 0;
    prefix_key program = 0;
    prefix_key shared = 0;
    std::int64_t sharedTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t cachedTokens = 0;
    double prefillLeft = 0;
    double outputLeft = 0;
};

/// \brief Small model of one engine: continuous batching, a prefix cache with LRU eviction, and
/// a waiting line by priority and then by arrival.
class engine_model
{
public:
    engine_traits traits;
    double slowness = 1;

    void add(engine_call call) { m_waiting.emplace(std::pair(call.priority, m_arrivals++), call); }

    /// \brief Runs for \p seconds. \returns the calls that ended.
    std::vector<engine_call> step(double seconds)
    {
        ++m_now;
        fillBatch();
        const double time = seconds / slowness;
        const double prefillTime = prefill(time);
        return decode(time - prefillTime);
    }
    void release(prefix_key prefix)
    {
        const auto it = m_cache.find(prefix);
        if (it != m_cache.end() && it->second.pins == 0)
            erase(it);
    }
    /// \brief The process dies. \returns the calls that die with it.
    std::vector<engine_call> die()
    {
        std::vector<engine_call> lost = std::move(m_batch);
        for (auto &[order, call] : m_waiting)
            lost.push_back(call);
        m_waiting.clear();
        m_batch.clear();
        m_cache.clear();
        m_used = 0;
        return lost;
    }
    load_report report(time_point now) const
    {
        double prefillLeft = 0;
        for (const engine_call &c : m_batch)
            prefillLeft += c.prefillLeft;
        for (const auto &[order, c] : m_waiting)
            prefillLeft += double(c.promptTokens - cached(c));
        return {now, int(m_batch.size()), int(m_waiting.size()), std::int64_t(prefillLeft)};
    }
    std::vector<cache_event> takeEvents() { return std::exchange(m_events, {}); }

private:
    struct cache_entry
    {
        std::int64_t tokens = 0;
        std::int64_t usedAt = 0;
        int pins = 0;
    };
    using cache = std::unordered_map<prefix_key, cache_entry>;

    std::int64_t cached(const engine_call &c) const
    {
        if (c.shared != 0 && !m_cache.contains(c.shared))
            return 0;
        const auto own = m_cache.find(c.program);
        const std::int64_t ownTokens = own == m_cache.end() ? 0 : own->second.tokens;
        return std::min(c.sharedTokens + ownTokens, c.promptTokens);
    }
    void fillBatch()
    {
        while (!m_waiting.empty() && m_batch.size() < traits.slots) {
            engine_call c = m_waiting.begin()->second;
            const std::int64_t wanted = c.promptTokens + c.outputTokens;
            c.cachedTokens = cached(c);
            c.prefillLeft = double(c.promptTokens - c.cachedTokens);
            c.outputLeft = double(c.outputTokens);
            if (!m_batch.empty() && pinned() + wanted > traits.memoryTokens)
                return;
            m_waiting.erase(m_waiting.begin());
            if (c.shared != 0)
                pin(c.shared, c.sharedTokens);
            pin(c.program, wanted - c.sharedTokens);
            evict();
            m_batch.push_back(c);
        }
    }
    std::int64_t pinned() const
    {
        std::int64_t sum = 0;
        for (const auto &[key, e] : m_cache)
            sum += e.pins > 0 ? e.tokens : 0;
        return sum;
    }
    void pin(prefix_key key, std::int64_t tokens)
    {
        cache_entry &e = m_cache[key];
        m_used += tokens - e.tokens;
        e.tokens = tokens;
        e.usedAt = m_now;
        ++e.pins;
    }
    void unpin(prefix_key key)
    {
        cache_entry &e = m_cache[key];
        e.usedAt = m_now;
        --e.pins;
    }
    void evict()
    {
        while (m_used > traits.memoryTokens) {
            auto oldest = m_cache.end();
            for (auto it = m_cache.begin(); it != m_cache.end(); ++it) {
                if (it->second.pins == 0
                    && (oldest == m_cache.end() || it->second.usedAt < oldest->second.usedAt))
                    oldest = it;
            }
            if (oldest == m_cache.end())
                return;
            m_events.push_back({++m_sequence, oldest->first});
            erase(oldest);
        }
    }
    void erase(cache::iterator it)
    {
        m_used -= it->second.tokens;
        m_cache.erase(it);
    }
    double prefill(double time)
    {
        bool decoding = false;
        double wanted = 0;
        for (const engine_call &c : m_batch) {
            decoding = decoding || c.prefillLeft <= 0;
            wanted += c.prefillLeft;
        }
        const double most = (decoding ? 0.5 : 1.0) * time * traits.prefillTokensPerSecond;
        double tokens = std::min(wanted, most);
        const double taken = tokens / traits.prefillTokensPerSecond;
        for (engine_call &c : m_batch) {
            const double part = std::min(tokens, c.prefillLeft);
            c.prefillLeft -= part;
            tokens -= part;
        }
        return taken;
    }
    std::vector<engine_call> decode(double time)
    {
        std::vector<engine_call> ended;
        const double each = time * traits.decodeMost / (double(m_batch.size()) + traits.decodeHalf);
        for (engine_call &c : m_batch) {
            if (c.prefillLeft <= 0)
                c.outputLeft -= each;
        }
        std::erase_if(m_batch, [&](const engine_call &c) {
            if (c.outputLeft > 0)
                return false;
            unpin(c.program);
            if (c.shared != 0)
                unpin(c.shared);
            ended.push_back(c);
            return true;
        });
        return ended;
    }

    std::multimap<std::pair<std::int64_t, std::int64_t>, engine_call> m_waiting;
    std::vector<engine_call> m_batch;
    cache m_cache;
    std::vector<cache_event> m_events;
    std::int64_t m_used = 0;
    std::int64_t m_now = 0;
    std::int64_t m_arrivals = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace azurehill::bench
