#include "logic/engine_model.h"
#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <numeric>
#include <utility>

namespace azurehill::test {

namespace {

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

/// \brief Simulates daemons that place the turns of programs on engines, each knowing only its own
/// requests. Time advances in steps of a millisecond.
class placement_replay
{
public:
    static constexpr int daemons = 13;
    static constexpr int engines = 9;

    /// \param callersSendHistory callers send the whole prompt with each turn, and no daemon knows
    /// which replica answered the previous turn.
    explicit placement_replay(const mechanism_set &mechanisms, bool callersSendHistory = false)
        : m_callersSendHistory(callersSendHistory)
    {
        std::vector<replica_entry> listed;
        for (int i = 0; i < engines; ++i) {
            const upstream_id id{"m" + std::to_string(i)};
            listed.push_back({{id, 1}, "model", {"10.0.0.1", 80}, {"here"}, 16, false, 1});
            m_engines.emplace(id, engine_model({}));
        }
        for (int i = 0; i < daemons; ++i) {
            m_balancers.emplace_back(data_centre_id{"here"}, std::uint64_t(i + 1), mechanisms);
            m_balancers.back().setReplicas(listed, at(0));
            m_balancers.back().setDaemons(daemons);
            m_balancers.back().setCacheTokens("model", 123'284);
        }
    }

    /// \brief Simulates \p seconds with \p programsPerSecond program starts.
    void play(int seconds, double programsPerSecond)
    {
        for (int ms = 0; ms < 1000 * seconds; ++ms) {
            ++m_now;
            m_dueStarts += programsPerSecond / 1000;
            for (; m_dueStarts >= 1; m_dueStarts -= 1)
                beginProgram();
            for (const std::size_t number : std::exchange(m_turnsAt[m_now], {}))
                beginTurn(number);
            for (auto &[id, engine] : m_engines) {
                for (const engine_event &event : engine.advanceMillisecond())
                    handleEvent(event);
            }
            if (m_now % 1000 == 0)
                nextSecond();
        }
    }

    /// Mean milliseconds per token between the first and the last token of an answer, by second.
    std::vector<double> msPerToken;
    /// Prompt tokens read per new prompt token, by second.
    std::vector<double> readTokensPerNewToken;

private:
    static constexpr int turnsOfProgram = 7;
    static constexpr int pauseMs = 80;
    static constexpr int subjects = 16;
    static constexpr std::int64_t sharedTokens = 512;
    static constexpr std::int64_t inputTokens = 420;
    static constexpr std::int64_t outputTokens = 70;

    struct program_state
    {
        int turns = 0;
        std::int64_t history = 0;
        replica_incarnation last;
        placement chosen;
        placement_request request;
        int sentAt = 0;
        int firstAt = 0;
    };

    void beginProgram()
    {
        m_programs.emplace_back();
        beginTurn(m_programs.size() - 1);
    }
    replica_load_balancer &balancerOf(std::size_t number)
    {
        // Each turn goes to a different daemon, as clients choose daemons at random.
        const std::size_t turn = std::size_t(m_programs.at(number).turns);
        return m_balancers.at((7 * number + 5 * turn) % daemons);
    }
    void beginTurn(std::size_t number)
    {
        program_state &p = m_programs.at(number);
        const std::string subject = "subject" + std::to_string(number % subjects);
        const std::string session = "session" + std::to_string(number);
        p.request = {};
        p.request.service = "model";
        p.request.parts = {{subject, sharedTokens}, {session, inputTokens}};
        p.request.promptTokens = sharedTokens + p.history + inputTokens;
        if (m_callersSendHistory) {
            // The session's prompt part contains its whole history.
            p.request.session = session;
            p.request.turnsBefore = p.turns;
            p.request.parts.back().tokens += p.history;
        } else {
            p.request.lastReplica = p.last;
            p.request.lastTokens = p.turns > 0 ? sharedTokens + p.history : 0;
        }
        p.chosen = *balancerOf(number).choose(p.request, at(m_now));
        p.sentAt = m_now;
        balancerOf(number).onSent(p.chosen, p.request, at(m_now));
        m_engines.at(p.chosen.replica.incarnation.id)
            .add({number, subject, session, sharedTokens, p.history, inputTokens, outputTokens});
    }
    void handleEvent(const engine_event &event)
    {
        program_state &p = m_programs.at(event.number);
        replica_load_balancer &balancer = balancerOf(event.number);
        if (event.isFirstToken) {
            p.firstAt = m_now;
            balancer.onFirstByte(p.chosen, p.request, milliseconds(m_now - p.sentAt), at(m_now));
        }
        if (!event.isEnd)
            return;
        balancer.onDone(p.chosen, send_outcome::Answered, at(m_now));
        m_msPerTokenSamples.push_back(double(m_now - p.firstAt) / (outputTokens - 1));
        p.last = p.chosen.replica.incarnation;
        p.history += inputTokens + outputTokens;
        if (++p.turns < turnsOfProgram)
            m_turnsAt[m_now + pauseMs].push_back(event.number);
    }
    void nextSecond()
    {
        const double msPerTokenSum
            = std::accumulate(m_msPerTokenSamples.begin(), m_msPerTokenSamples.end(), 0.0);
        msPerToken.push_back(
            m_msPerTokenSamples.empty() ? 0 : msPerTokenSum / double(m_msPerTokenSamples.size()));
        m_msPerTokenSamples.clear();
        std::int64_t read = 0;
        std::int64_t newTokens = 0;
        for (auto &[id, engine] : m_engines) {
            read += std::exchange(engine.readTokens, 0);
            newTokens += std::exchange(engine.newTokens, 0);
        }
        readTokensPerNewToken.push_back(newTokens == 0 ? 0 : double(read) / double(newTokens));
    }

    bool m_callersSendHistory;
    std::map<upstream_id, engine_model> m_engines;
    std::vector<replica_load_balancer> m_balancers;
    std::deque<program_state> m_programs;
    std::map<int, std::vector<std::size_t>> m_turnsAt;
    std::vector<double> m_msPerTokenSamples;
    int m_now = 0;
    double m_dueStarts = 0;
};

double mean(const std::vector<double> &values, std::size_t from, std::size_t to)
{
    return std::accumulate(values.begin() + std::ptrdiff_t(from),
                           values.begin() + std::ptrdiff_t(to), 0.0)
        / double(to - from);
}

} // namespace

TEST_SUITE("placement under load")
{
    // Guards against a burst of six seconds that makes every program late for twenty. Slightly
    // loaded replicas lose turns to others, which must read the whole history; this slows down all
    // replicas and moves more turns away, long after the burst has ended.
    TEST_CASE("a burst does not drive turns away from the replicas that have their history")
    {
        const auto replay = [](const mechanism_set &mechanisms) {
            placement_replay world(mechanisms);
            world.play(6, 26);
            world.play(6, 56);
            world.play(10, 38);
            return world;
        };
        mechanism_set without;
        without.disable(mechanism::PrefillInterference);
        const placement_replay withInterference = replay({});
        const placement_replay withoutInterference = replay(without);

        // Prompt tokens read per new one, from two seconds into the burst to four seconds after it.
        CHECK(mean(withInterference.readTokensPerNewToken, 8, 16) < 1.1);
        CHECK(mean(withoutInterference.readTokensPerNewToken, 8, 16) > 1.3);
        CHECK(mean(withInterference.msPerToken, 8, 16)
              < 0.95 * mean(withoutInterference.msPerToken, 8, 16));
        // Without a burst, the cost of interference causes no extra reads.
        CHECK(mean(withInterference.readTokensPerNewToken, 1, 6)
              < 1.02 * mean(withoutInterference.readTokensPerNewToken, 1, 6));
    }

    // Guards against reading the whole prompt at each turn when callers send the history.
    TEST_CASE("turns find the replica that read their prompt, though no daemon remembers it")
    {
        const auto replay = [](const mechanism_set &mechanisms) {
            placement_replay world(mechanisms, true);
            world.play(6, 26);
            world.play(6, 56);
            world.play(10, 38);
            return world;
        };
        mechanism_set without;
        without.disable(mechanism::SessionAffinity);
        const placement_replay withHomes = replay({});
        const placement_replay withoutHomes = replay(without);
        CHECK(mean(withHomes.readTokensPerNewToken, 1, 6) < 1.2);
        CHECK(mean(withoutHomes.readTokensPerNewToken, 1, 6) > 2);
        CHECK(mean(withHomes.readTokensPerNewToken, 8, 16) < 1.5);
        CHECK(mean(withHomes.msPerToken, 8, 16) < 0.9 * mean(withoutHomes.msPerToken, 8, 16));
    }
}

} // namespace azurehill::test
