// Turns made durable per platform write and the latency that commits add, with the real batcher, a
// simulated write time and a time that only moves by hand.

#include "journal/journal.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace azurehill;

namespace {

constexpr duration tick = milliseconds(1);
constexpr int simulatedSeconds = 600;
constexpr unsigned randomSeed = 1;
/// Time of the upstream between the begin record and the end of the call.
constexpr duration callTime = milliseconds(800);

struct figures
{
    int turns = 0;
    int writes = 0;
    std::vector<double> waitMs;
};

struct pending_commit
{
    commit_ticket ticket = 0;
    time_point since;
    bool isBegin = false;
    int program = 0;
};

/// \brief One daemon under turns that arrive at random.
class journal_run
{
public:
    journal_run(double turnsPerSecond, duration writeTime)
        : m_turnsPerSecond(turnsPerSecond), m_writeTime(writeTime)
    {
        m_batcher.onView({1, 1, [](const program_id &) { return true; }});
    }

    figures run()
    {
        std::exponential_distribution<double> gap(m_turnsPerSecond);
        const time_point end{duration(seconds(simulatedSeconds))};
        double nextTurn = gap(m_random);
        for (time_point now{}; now < end; now += tick) {
            for (; nextTurn < std::chrono::duration<double>(now.time_since_epoch()).count();
                 nextTurn += gap(m_random))
                begin(now);
            endCalls(now);
            if (m_answerAt && now >= *m_answerAt) {
                m_answerAt.reset();
                take(m_batcher.onAnswer(batch_outcome::Written, now), now);
            }
            take(m_batcher.poll(now), now);
        }
        return m_figures;
    }

private:
    void begin(time_point now)
    {
        const int program = ++m_lastProgram;
        append(call_begun{name(program), 1, "key", call_kind::Model, true, 4000}, true, program,
               now);
    }
    void endCalls(time_point now)
    {
        while (!m_running.empty() && m_running.front().since + callTime <= now) {
            const int program = m_running.front().program;
            m_running.erase(m_running.begin());
            append(call_finished{name(program), 1, "key", 3000, 200, std::string(4000, 'm'),
                                 std::string(1320, 'r')},
                   false, program, now);
        }
    }
    static program_id name(int program) { return {fmt::format("p{:024x}", program)}; }
    void append(journal_record record, bool isBegin, int program, time_point now)
    {
        const auto ticket = m_batcher.append({std::move(record)}, commit_policy::MustCommit, now);
        m_pending.push_back({*ticket, now, isBegin, program});
    }
    void take(const std::vector<commit_action> &actions, time_point now)
    {
        for (const commit_action &action : actions) {
            if (std::holds_alternative<write_batch>(action)) {
                ++m_figures.writes;
                m_answerAt = now + m_writeTime;
                continue;
            }
            for (const commit_ticket ticket : std::get<commit_done>(action).tickets)
                settle(ticket, now);
        }
    }
    void settle(commit_ticket ticket, time_point now)
    {
        const auto it = std::find_if(m_pending.begin(), m_pending.end(),
                                     [&](const pending_commit &p) { return p.ticket == ticket; });
        m_figures.waitMs.push_back(
            std::chrono::duration<double, std::milli>(now - it->since).count());
        if (it->isBegin)
            m_running.push_back({0, now, false, it->program});
        else
            ++m_figures.turns;
        m_pending.erase(it);
    }

    double m_turnsPerSecond;
    duration m_writeTime;
    std::mt19937 m_random{randomSeed};
    commit_batcher m_batcher{{"daemon"}, "incarnation", {}};
    std::vector<pending_commit> m_pending;
    std::vector<pending_commit> m_running;
    std::optional<time_point> m_answerAt;
    int m_lastProgram = 0;
    figures m_figures;
};

double percentile(std::vector<double> &sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main()
{
    fmt::print("| turns/s | write ms | turns | writes | turns per write | writes/s | commit median "
               "ms | 95% ms | worst ms |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const int turnsPerSecond : {1, 10, 100}) {
        for (const int writeMs : {5, 20}) {
            figures f = journal_run(turnsPerSecond, milliseconds(writeMs)).run();
            std::sort(f.waitMs.begin(), f.waitMs.end());
            fmt::print("| {} | {} | {} | {} | {:.2f} | {:.1f} | {:.0f} | {:.0f} | {:.0f} |\n",
                       turnsPerSecond, writeMs, f.turns, f.writes,
                       static_cast<double>(f.turns) / f.writes,
                       static_cast<double>(f.writes) / simulatedSeconds, percentile(f.waitMs, 0.5),
                       percentile(f.waitMs, 0.95), f.waitMs.back());
        }
    }
}
