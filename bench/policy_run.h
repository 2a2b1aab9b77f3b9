#pragma once

#include "policy_baselines.h"
#include "policy_engine.h"
#include "policy_workload.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace azurehill::bench {

using any_policy = std::variant<round_robin, least_loaded, sticky, scheduler>;
enum class policy_name { RoundRobin, LeastLoaded, Sticky, Azurehill };

/// \brief One setting of the bench.
struct run_case
{
    std::string name;
    /// Work offered as a share of what the replicas do with every prefix cached.
    double load = 0.9;
    /// Load per data centre when they differ.
    std::vector<double> loads;
    /// Work that tenant 0 offers on top.
    double flood = 0;
    double reportDelay = 0.5;
    /// Replicas of the first data centre die at a third of the run.
    bool loseDataCentre = false;
    /// Slowness of one replica from a third of the run on.
    double slowReplica = 1;
    /// Only the programs of this tenant run.
    int onlyTenant = -1;
};

/// \brief What became of one program.
struct program_result
{
    int tenant = 0;
    int dataCentre = 0;
    double latency = 0;
    double deadline = 0;
    double service = 0;
    bool finished = false;
    bool refused = false;
    bool flooding = false;
    bool inTime() const { return finished && latency <= deadline; }
};

struct run_result
{
    std::vector<program_result> programs;
    std::int64_t promptTokens = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t calls = 0;
    std::int64_t refusals = 0;
    double seconds = 0;
};

constexpr int dataCentres = 3;
constexpr int daemonCount = 6;
constexpr int replicasPerDataCentre = 4;
constexpr int replicaCount = dataCentres * replicasPerDataCentre;
constexpr double arrivalSeconds = 300;
constexpr double longestRun = 1500;
constexpr double stepSeconds = 0.025;
constexpr double reportInterval = 0.25;
constexpr double eventDelay = 1;
constexpr double eventLoss = 0.05;
constexpr double listLag = 1;
constexpr double retryDelay = 0.1;
constexpr int mostComeBacks = 3;

inline time_point at(double seconds)
{
    return time_point()
        + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds + 1));
}

/// \returns replica seconds of a program with every prefix cached.
inline double serviceOf(const program_shape &p, const engine_traits &traits)
{
    double tokens = 0;
    double output = 0;
    double below = 0;
    for (const turn_shape &t : p.turns) {
        tokens += t.newTokens;
        output += t.outputTokens;
        for (const program_shape &s : t.subAgents)
            below += serviceOf(s, traits);
    }
    return tokens / traits.prefillTokensPerSecond + output / traits.fullDecode() + below;
}

/// \returns the programs of a case, flooding ones last, by arrival.
std::vector<std::pair<program_shape, bool>> drawPrograms(const run_case &c, std::uint64_t seed);

/// \brief One run of one policy in virtual time.
class policy_run
{
public:
    policy_run(const run_case &c, policy_name policy, const scheduler_parameters &knobs,
               std::uint64_t seed);
    run_result run();

private:
    struct program_state
    {
        const program_shape *shape = nullptr;
        program_id id;
        int daemon = 0;
        std::size_t turn = 0;
        std::int64_t history = 0;
        std::int64_t heldSomewhere = 0;
        program_state *parent = nullptr;
        int waitingFor = 0;
        int comeBacks = 0;
        int children = 0;
        double arrival = 0;
        std::size_t result = 0;
    };
    struct open_call
    {
        program_state *program = nullptr;
        pending_call call;
    };
    struct event
    {
        double at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const event &o) const
        {
            return std::tie(at, order) > std::tie(o.at, o.order);
        }
    };

    void later(double delay, std::function<void()> act)
    {
        m_events.push({m_now + delay, m_order++, std::move(act)});
    }
    void arrive(program_state *p);
    void startTurn(program_state *p);
    void submit(program_state *p, pending_call call);
    void perform(int daemon);
    void toEngine(int daemon, const dispatch_call &action);
    void refused(int daemon, const refuse_call &action);
    void ended(const engine_call &c);
    void failed(const engine_call &c, outcome how);
    void turnDone(program_state *p);
    void partDone(program_state *p);
    void finish(program_state *p);
    void report();
    void loseDataCentre();
    program_request requestOf(const program_state &p) const;
    std::vector<replica> listed() const;
    template <class F>
    auto with(int daemon, F f)
    {
        return std::visit(f, m_policies[std::size_t(daemon)]);
    }

    run_case m_case;
    std::vector<std::pair<program_shape, bool>> m_programs;
    std::vector<any_policy> m_policies;
    std::vector<engine_model> m_engines;
    std::vector<bool> m_alive;
    std::vector<std::unique_ptr<program_state>> m_states;
    std::unordered_map<call_number, open_call> m_calls;
    std::unordered_map<upstream_id, std::size_t> m_engineIndex;
    std::priority_queue<event> m_events;
    std::mt19937_64 m_random;
    run_result m_result;
    double m_now = 0;
    std::uint64_t m_order = 0;
    call_number m_number = 0;
    std::size_t m_open = 0;
};

} // namespace azurehill::bench

#include "policy_run_impl.h"
