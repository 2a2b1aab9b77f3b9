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

/// \brief Daemons that place the turns of programs on engines, each knowing its own work only. Time
/// passes in steps of a millisecond.
class placement_replay
{
public:
    static constexpr int daemons = 13;
    static constexpr int engines = 9;

    /// \param callersHistory callers send the whole prompt, so that no daemon knows where a
    /// program's turn before went.
    explicit placement_replay(const mechanism_set &mechanisms, bool callersHistory = false)
        : m_callersHistory(callersHistory)
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

    /// \brief Plays \p seconds in which \p programsPerSecond begin each second.
    void play(int seconds, double programsPerSecond)
    {
        for (int ms = 0; ms < 1000 * seconds; ++ms) {
            ++m_now;
            m_due += programsPerSecond / 1000;
            for (; m_due >= 1; m_due -= 1)
                beginProgram();
            for (const std::size_t number : std::exchange(m_turnsAt[m_now], {}))
                beginTurn(number);
            for (auto &[id, engine] : m_engines) {
                for (const engine_event &news : engine.passMillisecond())
                    take(news);
            }
            if (m_now % 1000 == 0)
                nextSecond();
        }
    }

    /// Milliseconds a token between the first and the last of an answer, on average, by second.
    std::vector<double> pace;
    /// Prompt tokens that were read, for each that was new, by second.
    std::vector<double> readPerNew;

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
        placement where;
        placement_request asked;
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
        // Another daemon for each turn, as clients choose them by chance.
        const std::size_t turn = std::size_t(m_programs.at(number).turns);
        return m_balancers.at((7 * number + 5 * turn) % daemons);
    }
    void beginTurn(std::size_t number)
    {
        program_state &p = m_programs.at(number);
        const std::string subject = "subject" + std::to_string(number % subjects);
        const std::string session = "session" + std::to_string(number);
        p.asked = {};
        p.asked.service = "model";
        p.asked.parts = {{subject, sharedTokens}, {session, inputTokens}};
        p.asked.promptTokens = sharedTokens + p.history + inputTokens;
        if (m_callersHistory) {
            // The session's part is all that was said in it.
            p.asked.session = session;
            p.asked.turnsBefore = p.turns;
            p.asked.parts.back().tokens += p.history;
        } else {
            p.asked.lastReplica = p.last;
            p.asked.lastTokens = p.turns > 0 ? sharedTokens + p.history : 0;
        }
        p.where = *balancerOf(number).choose(p.asked, at(m_now));
        p.sentAt = m_now;
        balancerOf(number).onSent(p.where, p.asked, at(m_now));
        m_engines.at(p.where.replica.incarnation.id)
            .add({number, subject, session, sharedTokens, p.history, inputTokens, outputTokens});
    }
    void take(const engine_event &news)
    {
        program_state &p = m_programs.at(news.number);
        replica_load_balancer &board = balancerOf(news.number);
        if (news.isFirstToken) {
            p.firstAt = m_now;
            board.onFirstByte(p.where, p.asked, milliseconds(m_now - p.sentAt), at(m_now));
        }
        if (!news.isEnd)
            return;
        board.onDone(p.where, send_outcome::Answered, at(m_now));
        m_paces.push_back(double(m_now - p.firstAt) / (outputTokens - 1));
        p.last = p.where.replica.incarnation;
        p.history += inputTokens + outputTokens;
        if (++p.turns < turnsOfProgram)
            m_turnsAt[m_now + pauseMs].push_back(news.number);
    }
    void nextSecond()
    {
        const double sum = std::accumulate(m_paces.begin(), m_paces.end(), 0.0);
        pace.push_back(m_paces.empty() ? 0 : sum / double(m_paces.size()));
        m_paces.clear();
        std::int64_t read = 0;
        std::int64_t fresh = 0;
        for (auto &[id, engine] : m_engines) {
            read += std::exchange(engine.readTokens, 0);
            fresh += std::exchange(engine.newTokens, 0);
        }
        readPerNew.push_back(fresh == 0 ? 0 : double(read) / double(fresh));
    }

    bool m_callersHistory;
    std::map<upstream_id, engine_model> m_engines;
    std::vector<replica_load_balancer> m_balancers;
    std::deque<program_state> m_programs;
    std::map<int, std::vector<std::size_t>> m_turnsAt;
    std::vector<double> m_paces;
    int m_now = 0;
    double m_due = 0;
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
    // A burst of six seconds made every program late for twenty. Replicas had a little more to do,
    // so turns went to others, which had to read the whole history; that made all replicas slower,
    // and drove more turns away from theirs, long after the burst was over.
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
        without.switchOff(mechanism::CrowdedReads);
        const placement_replay priced = replay({});
        const placement_replay plain = replay(without);

        // Prompt tokens read for each new one, from two seconds into the burst to four after it.
        CHECK(mean(priced.readPerNew, 8, 16) < 1.1);
        CHECK(mean(plain.readPerNew, 8, 16) > 1.3);
        CHECK(mean(priced.pace, 8, 16) < 0.95 * mean(plain.pace, 8, 16));
        // On a calm day nothing is lost by it.
        CHECK(mean(priced.readPerNew, 1, 6) < 1.02 * mean(plain.readPerNew, 1, 6));
    }

    // Guards against prompts that are read whole at each turn where callers keep the history.
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
        without.switchOff(mechanism::SessionHomes);
        const placement_replay homes = replay({});
        const placement_replay chance = replay(without);
        CHECK(mean(homes.readPerNew, 1, 6) < 1.2);
        CHECK(mean(chance.readPerNew, 1, 6) > 2);
        CHECK(mean(homes.readPerNew, 8, 16) < 1.5);
        CHECK(mean(homes.pace, 8, 16) < 0.9 * mean(chance.pace, 8, 16));
    }
}

} // namespace azurehill::test
