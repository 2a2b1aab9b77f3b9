// Simulates replicas that report themselves healthy but fail every request within milliseconds, and
// daemons that choose among all replicas while each observes only a few requests.
#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace azurehill {

namespace {

constexpr duration step = milliseconds(10);
constexpr duration failureTime = milliseconds(4);
constexpr duration answerTime = milliseconds(400);

/// \brief Daemons that use the replicas of one service, some of which fail every request.
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

    /// \brief Simulates \p time with \p perSecond requests of all daemons together.
    void play(duration time, double perSecond, bool isFailing)
    {
        sent = 0;
        failed = 0;
        m_isFailing = isFailing;
        const time_point end = m_now + time;
        double dueRequests = 0;
        for (; m_now < end; m_now += step) {
            finish();
            for (dueRequests += perSecond * std::chrono::duration<double>(step).count();
                 dueRequests >= 1; dueRequests -= 1)
                send();
            if (m_now >= m_lastGossipAt + milliseconds(200))
                gossip();
        }
    }
    /// \returns the number of replicas that the first daemon may send requests to.
    int availableAtFirstDaemon() const
    {
        return m_balancers.front().availableReplicas("model", m_now);
    }
    int sentToFailing() const { return m_sentToFailing; }

    int sent = 0;
    int failed = 0;

private:
    struct request
    {
        std::size_t balancer = 0;
        placement chosen;
        placement_request placementRequest;
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
        const std::size_t balancer = m_random() % m_balancers.size();
        placement_request placementRequest;
        placementRequest.service = "model";
        placementRequest.promptTokens = 3000;
        placementRequest.parts = {{"shared", 2500}, {"own" + std::to_string(m_random()), 500}};
        const auto chosen = m_balancers[balancer].choose(placementRequest, m_now);
        if (!chosen)
            return;
        m_balancers[balancer].onSent(*chosen, placementRequest, m_now);
        const bool fails = failsAt(*chosen);
        ++sent;
        failed += fails ? 1 : 0;
        m_sentToFailing += fails ? 1 : 0;
        m_inFlight.push_back({balancer, *chosen, placementRequest,
                              m_now + (fails ? failureTime : answerTime), fails});
    }

    void finish()
    {
        std::erase_if(m_inFlight, [this](const request &r) {
            if (r.doneAt > m_now)
                return false;
            replica_load_balancer &balancer = m_balancers[r.balancer];
            const bool isAnswer = !r.fails || m_failureIsAnswer;
            if (isAnswer)
                balancer.onFirstByte(r.chosen, r.placementRequest,
                                     r.fails ? failureTime : answerTime / 4, m_now);
            balancer.onDone(r.chosen, isAnswer ? send_outcome::Answered : send_outcome::Failed,
                            m_now);
            return true;
        });
    }

    /// \brief Each daemon receives the reports of a random third of the daemons.
    void gossip()
    {
        m_lastGossipAt = m_now;
        std::vector<replica_reports> reports;
        reports.reserve(m_balancers.size());
        for (const replica_load_balancer &balancer : m_balancers)
            reports.push_back(balancer.recentReports(m_now));
        for (replica_load_balancer &balancer : m_balancers) {
            std::vector<replica_reports> received;
            for (const replica_reports &daemonReports : reports) {
                if (!daemonReports.empty() && m_random() % 3 == 0)
                    received.push_back(daemonReports);
            }
            balancer.mergeReports(received, m_now);
        }
    }

    int m_failing;
    bool m_failureIsAnswer;
    bool m_isFailing = false;
    std::deque<replica_load_balancer> m_balancers;
    std::vector<request> m_inFlight;
    std::minstd_rand m_random{7};
    time_point m_now{seconds(1000)};
    time_point m_lastGossipAt;
    int m_sentToFailing = 0;
};

} // namespace

// Guards against replicas that fail immediately, look idle and fast, and so attract the load.
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

// Guards against a faulty route or program that gets healthy replicas ejected.
TEST_CASE("requests that fail everywhere put out no replicas")
{
    failing_replicas_replay world(3, 20, 20, false);
    world.play(seconds(2), 100, false);
    world.play(seconds(3), 100, true);
    CHECK(world.availableAtFirstDaemon() * 3 >= 20 * 2);
}

} // namespace azurehill
