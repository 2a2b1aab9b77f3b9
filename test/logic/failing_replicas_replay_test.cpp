// Replays replicas that say they are well and fail every request within milliseconds, while daemons
// that each see a few requests choose among all replicas.
#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace azurehill {

namespace {

constexpr duration step = milliseconds(10);
constexpr duration failureTime = milliseconds(4);
constexpr duration answerTime = milliseconds(400);

/// \brief Daemons before the engines of one service; some of these fail all that they get.
class failing_replicas_replay
{
public:
    failing_replicas_replay(int daemons, int replicas, int failing, bool failureIsAnswer)
        : m_failing(failing), m_failureIsAnswer(failureIsAnswer)
    {
        std::vector<replica_entry> entries;
        entries.reserve(std::size_t(replicas));
        for (int i = 0; i < replicas; ++i)
            entries.push_back({{{id(i)}, 1}, "model", {"10.0.0.1", 80}, {"dc"}, 16, false, 1});
        for (int i = 0; i < daemons; ++i) {
            m_balancers.emplace_back(data_centre_id{"dc"}, std::uint64_t(i + 1));
            m_balancers.back().setReplicas(entries, m_now);
            m_balancers.back().setDaemons(daemons);
        }
    }

    /// \brief Plays \p time with \p perSecond requests of all daemons.
    void play(duration time, double perSecond, bool isFailing)
    {
        sent = 0;
        failed = 0;
        m_isFailing = isFailing;
        const time_point end = m_now + time;
        double due = 0;
        for (; m_now < end; m_now += step) {
            finish();
            for (due += perSecond * std::chrono::duration<double>(step).count(); due >= 1; due -= 1)
                send();
            if (m_now >= m_lastGossipAt + milliseconds(200))
                gossip();
        }
    }
    /// \returns the replicas that the first daemon may send to.
    int availableAtFirstDaemon() const { return m_balancers.front().open("model", m_now); }
    int sentToFailing() const { return m_sentToFailing; }

    int sent = 0;
    int failed = 0;

private:
    struct request
    {
        std::size_t board = 0;
        placement where;
        placement_request wanted;
        time_point doneAt;
        bool fails = false;
    };

    static std::string id(int i) { return "i" + std::to_string(i); }
    bool failsAt(const placement &p) const
    {
        return m_isFailing && std::stoi(p.replica.incarnation.id.value.substr(1)) < m_failing;
    }

    void send()
    {
        const std::size_t board = m_random() % m_balancers.size();
        placement_request wanted;
        wanted.service = "model";
        wanted.promptTokens = 3000;
        wanted.parts = {{"shared", 2500}, {"own" + std::to_string(m_random()), 500}};
        const auto where = m_balancers[board].choose(wanted, m_now);
        if (!where)
            return;
        m_balancers[board].onSent(*where, wanted, m_now);
        const bool fails = failsAt(*where);
        ++sent;
        failed += fails ? 1 : 0;
        m_sentToFailing += fails ? 1 : 0;
        m_underWay.push_back(
            {board, *where, wanted, m_now + (fails ? failureTime : answerTime), fails});
    }

    void finish()
    {
        std::erase_if(m_underWay, [this](const request &r) {
            if (r.doneAt > m_now)
                return false;
            replica_load_balancer &board = m_balancers[r.board];
            const bool isAnswer = !r.fails || m_failureIsAnswer;
            if (isAnswer)
                board.onFirstByte(r.where, r.wanted, r.fails ? failureTime : answerTime / 4, m_now);
            board.onDone(r.where, isAnswer ? send_outcome::Answered : send_outcome::Failed, m_now);
            return true;
        });
    }

    /// \brief Each daemon hears a third of the others.
    void gossip()
    {
        m_lastGossipAt = m_now;
        std::vector<replica_reports> told;
        told.reserve(m_balancers.size());
        for (const replica_load_balancer &board : m_balancers)
            told.push_back(board.tell(m_now));
        for (replica_load_balancer &board : m_balancers) {
            std::vector<replica_reports> heard;
            for (const replica_reports &words : told) {
                if (!words.empty() && m_random() % 3 == 0)
                    heard.push_back(words);
            }
            board.hear(heard, m_now);
        }
    }

    int m_failing;
    bool m_failureIsAnswer;
    bool m_isFailing = false;
    std::deque<replica_load_balancer> m_balancers;
    std::vector<request> m_underWay;
    std::minstd_rand m_random{7};
    time_point m_now{seconds(1000)};
    time_point m_lastGossipAt;
    int m_sentToFailing = 0;
};

} // namespace

// Guards against replicas that fail at once and so look idle and quick, and draw the load.
TEST_CASE("replicas that fail what they get are soon left out by all daemons")
{
    for (const int daemons : {3, 30, 88, 300}) {
        INFO(daemons);
        failing_replicas_replay world(daemons, 71, 8, false);
        world.play(seconds(5), 300, false);
        REQUIRE(world.failed == 0);
        world.play(seconds(7), 300, true);
        // One in nine replicas fails: half of an even share would be one request in eighteen.
        CHECK(world.failed * 18 < world.sent);
    }
}

TEST_CASE("replicas that failed requests get them again once they answer")
{
    for (const int daemons : {3, 30, 88, 300}) {
        INFO(daemons);
        failing_replicas_replay world(daemons, 71, 8, false);
        world.play(seconds(3), 300, false);
        world.play(seconds(3), 300, true);
        world.play(seconds(8), 300, false);
        const int before = world.sentToFailing();
        world.play(milliseconds(500), 300, true);
        CHECK(world.sentToFailing() > before);
    }
}

TEST_CASE("failures that count as answers draw more than an even share of the load")
{
    failing_replicas_replay world(88, 71, 8, true);
    world.play(seconds(5), 300, false);
    world.play(seconds(7), 300, true);
    CHECK(world.failed * 9 > world.sent);
}

// Guards against a bad route or program that puts out good replicas.
TEST_CASE("requests that fail everywhere put out no replicas")
{
    failing_replicas_replay world(3, 20, 20, false);
    world.play(seconds(2), 100, false);
    world.play(seconds(3), 100, true);
    CHECK(world.availableAtFirstDaemon() * 3 >= 20 * 2);
}

} // namespace azurehill
