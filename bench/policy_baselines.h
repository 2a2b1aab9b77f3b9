#pragma once

#include "sched/sched.h"

#include <algorithm>
#include <random>
#include <utility>

namespace azurehill::bench {

/// \brief What the baselines have in common: no admission, first come first served.
class baseline
{
public:
    explicit baseline(data_centre_id here) : m_table(std::move(here)) { }

    void setReplicas(const std::vector<replica> &listed, time_point)
    {
        m_table.setReplicas(listed);
        m_open.clear();
        for (const replica &r : listed)
            m_open.push_back(m_table.find(r.id));
    }
    void onReport(const upstream_id &id, const load_report &report, time_point)
    {
        m_table.onReport(id, report);
    }
    void onCacheEvent(const upstream_id &, const cache_event &, time_point) { }
    std::optional<duration> refuseProgram(const program_request &, time_point)
    {
        return std::nullopt;
    }
    void startProgram(const program_request &, time_point) { }
    void endProgram(const program_id &, time_point) { }
    void onTick(time_point) { }
    void onEnd(call_number number, const call_result &, time_point now)
    {
        const auto it = m_sent.find(number);
        m_table.onDone(it->second.first, 0, 0, it->second.second, now);
        m_sent.erase(it);
    }
    std::vector<sched_action> takeActions() { return std::exchange(m_actions, {}); }

protected:
    void send(call_number number, replica_index index, time_point now)
    {
        m_table.onSent(index, 0, 0, now);
        m_sent.emplace(number, std::pair(index, now));
        m_actions.emplace_back(dispatch_call{number, m_table.at(index).id, 0});
    }

    replica_table m_table;
    std::vector<replica_index> m_open;

private:
    std::unordered_map<call_number, std::pair<replica_index, time_point>> m_sent;
    std::vector<sched_action> m_actions;
};

class round_robin : public baseline
{
public:
    /// \param first where the daemon begins, so that the daemons don't go in step.
    round_robin(data_centre_id here, std::size_t first) : baseline(std::move(here)), m_next(first)
    { }
    void submit(const pending_call &call, time_point now)
    {
        send(call.number, m_open[m_next++ % m_open.size()], now);
    }

private:
    std::size_t m_next;
};

/// \brief Fewest calls by the last report and its own work since then; ties go by chance.
class least_loaded : public baseline
{
public:
    least_loaded(data_centre_id here, std::uint64_t seed)
        : baseline(std::move(here)), m_random(seed)
    { }
    void submit(const pending_call &call, time_point now)
    {
        std::shuffle(m_open.begin(), m_open.end(), m_random);
        send(call.number,
             *std::min_element(m_open.begin(), m_open.end(),
                               [&](replica_index a, replica_index b) {
                                   return m_table.load(a).calls < m_table.load(b).calls;
                               }),
             now);
    }

private:
    std::minstd_rand m_random;
};

/// \brief Every program has its replica by rendezvous hashing, so that a lost replica moves only
/// its own programs.
class sticky : public baseline
{
public:
    using baseline::baseline;
    void submit(const pending_call &call, time_point now)
    {
        const auto rank = [&](replica_index i) {
            return stableHash(call.program.value + "/" + m_table.at(i).id.value);
        };
        send(call.number,
             *std::max_element(m_open.begin(), m_open.end(),
                               [&](replica_index a, replica_index b) { return rank(a) < rank(b); }),
             now);
    }
};

} // namespace azurehill::bench
