#include "crashes/crashes.h"
#include "loopback.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>

namespace azurehill::test {

namespace {

constexpr int hosts = 3;
constexpr duration step = milliseconds(20);
constexpr duration workTime = seconds(4);
const request_fingerprint request = fingerprintOf(std::array<std::string_view, 1>{"request"});

replica_incarnation replicaNumber(int number)
{
    return {{fmt::format("i-{}", number)}, 5};
}

/// \brief Test fixture: daemons reduced to their quarantines, and replicas that lose sends.
class quarantine_fixture
{
public:
    quarantine_fixture()
    {
        for (int i = 0; i < hosts; ++i) {
            daemon &d = m_daemons.emplace_back(m_context, i);
            const std::uint16_t port = d.quarantine.start({"127.0.0.1", 0});
            d.self.name = {fmt::format("host{}", i)};
            d.self.gossip = {"127.0.0.1", static_cast<std::uint16_t>(port - 3)};
            d.quarantine.setDirectory(
                [this](std::vector<std::uint64_t> replicas) { return inquire(replicas.size()); },
                [this] { return m_listed; });
        }
        for (daemon &d : m_daemons) {
            std::vector<member_state> others;
            for (const daemon &other : m_daemons) {
                if (&other != &d)
                    others.push_back(other.self);
            }
            d.quarantine.setMembers(d.self, others);
        }
        for (int i = 0; i < 8; ++i)
            m_listed.push_back(digestOf(replicaNumber(i)));
        std::sort(m_listed.begin(), m_listed.end());
    }

    /// \brief The daemon number \p host gives up a send to the replica number \p replica.
    void lose(std::size_t host, int replica)
    {
        recordLoss(host, replica, {send_loss::GivenUp, runtime_clock::now() + workTime, false});
        wait(milliseconds(200));
    }
    /// \brief A connection of the daemon number \p host to the replica number \p replica ends.
    /// \param timeToEnd time for which an end of the replica counts as one under the request.
    void loseConnection(std::size_t host, int replica, duration timeToEnd = duration::zero())
    {
        recordLoss(host, replica,
                   {send_loss::ConnectionEnded, runtime_clock::now() + timeToEnd, false});
    }
    /// \brief Removes the entry of the replica number \p replica.
    void unlist(int replica) { std::erase(m_listed, digestOf(replicaNumber(replica))); }
    /// \brief Lets time pass for all daemons but those before \p firstHost.
    void wait(duration time, std::size_t firstHost = 0)
    {
        auto body = [&]() -> awaitable<void> {
            const time_point until = runtime_clock::now() + time;
            while (runtime_clock::now() < until) {
                for (std::size_t i = firstHost; i < m_daemons.size(); ++i)
                    m_daemons[i].quarantine.update(lookup());
                co_await sleepFor(milliseconds(100));
            }
        };
        runInSteps(m_context, body(), step);
    }
    send_verdict verdict(std::size_t host) const
    {
        return m_daemons[host].quarantine.verdict(request);
    }
    send_verdict settledVerdict(std::size_t host)
    {
        send_verdict result;
        auto body = [&]() -> awaitable<void> {
            result = co_await m_daemons[host].quarantine.settledVerdict(request);
        };
        runInSteps(m_context, body(), step);
        return result;
    }

    /// What a replica that is asked shows.
    process_sight sight = process_sight::Unknown;
    int inquiries = 0;
    /// Called while the replicas are asked.
    std::function<void()> onInquiry;

private:
    struct daemon
    {
        daemon(asio::io_context &context, int number)
            : quarantine(context.get_executor(), std::uint64_t(number))
        { }
        request_quarantine quarantine;
        member_state self;
    };

    awaitable<std::vector<process_sight>> inquire(std::size_t count)
    {
        ++inquiries;
        if (onInquiry)
            onInquiry();
        co_return std::vector<process_sight>(count, sight);
    }
    void recordLoss(std::size_t host, int replica, const loss_observation &seen)
    {
        m_daemons[host].quarantine.onSendLost({request, replicaNumber(replica), ++m_sends}, seen,
                                              lookup());
    }
    replica_lookup lookup() const
    {
        return [this](const replica_incarnation &who) {
            const bool isListed
                = std::binary_search(m_listed.begin(), m_listed.end(), digestOf(who));
            return replica_sight{isListed, false, time_point()};
        };
    }

    const paused_clock m_pause;
    asio::io_context m_context;
    std::deque<daemon> m_daemons;
    std::vector<std::uint64_t> m_listed;
    std::uint64_t m_sends = 0;
};

template <class Verdict>
bool is(const send_verdict &verdict)
{
    return std::holds_alternative<Verdict>(verdict);
}

} // namespace

TEST_SUITE("quarantine of requests")
{
    // Guards against evidence that is lost with the daemon that would have found the fate.
    TEST_CASE_FIXTURE(quarantine_fixture, "suspicions outlive the daemon that has them")
    {
        for (const int replica : {1, 2, 3})
            lose(0, replica);
        CHECK(is<send_deferred>(verdict(1)));
        CHECK(is<send_deferred>(verdict(2)));

        SUBCASE("and become certain once the entries lapse")
        {
            for (const int replica : {1, 2, 3})
                unlist(replica);
            wait(workTime + crash_ledger::adoptionTime + seconds(6), 1);
            CHECK(is<send_rejected>(verdict(1)));
            CHECK(is<send_rejected>(verdict(2)));
        }
        SUBCASE("and stay while the store is away, so that no entry lapses")
        {
            wait(workTime + crash_ledger::adoptionTime + seconds(6), 1);
            CHECK(is<send_deferred>(verdict(1)));
            CHECK(is<send_deferred>(verdict(2)));
        }
    }

    // Guards against requests that are refused since their replicas are merely slow.
    TEST_CASE_FIXTURE(quarantine_fixture, "replicas are asked before a request is deferred")
    {
        lose(0, 1);
        lose(1, 2);
        CHECK(is<send_allowed>(settledVerdict(0)));
        CHECK(inquiries == 0);
        lose(2, 3);

        SUBCASE("but not while they may work on it and end later")
        {
            CHECK(is<send_deferred>(settledVerdict(0)));
            CHECK(inquiries == 0);
        }
        SUBCASE("and if they live, it is sent")
        {
            wait(workTime);
            sight = process_sight::Alive;
            CHECK(is<send_allowed>(settledVerdict(0)));
            CHECK(inquiries == 1);
        }
        // Guards against a sign of life that clears a loss which came after it.
        SUBCASE("and what they lose meanwhile stays a suspicion")
        {
            wait(workTime);
            sight = process_sight::Alive;
            onInquiry = [this] {
                for (const int replica : {1, 2, 3})
                    loseConnection(0, replica);
            };
            CHECK(is<send_deferred>(settledVerdict(0)));
        }
        SUBCASE("and if other processes have their addresses, it is not sent any more")
        {
            wait(workTime);
            sight = process_sight::Replaced;
            CHECK(is<send_rejected>(settledVerdict(0)));
        }
        SUBCASE("and if they don't answer, nothing is known")
        {
            wait(workTime);
            CHECK(is<send_deferred>(settledVerdict(0)));
            CHECK(inquiries == 1);
        }
    }

    // Guards against a replica that answers a check, ends, and counts as alive from then on.
    TEST_CASE_FIXTURE(quarantine_fixture, "a replica that may still end is asked for each decision")
    {
        for (const int replica : {1, 2, 3})
            loseConnection(0, replica, workTime);
        wait(milliseconds(200));
        sight = process_sight::Alive;
        CHECK(is<send_allowed>(settledVerdict(0)));
        CHECK(is<send_allowed>(settledVerdict(1)));
        CHECK(inquiries == 2);

        SUBCASE("and if it no longer answers, the request is deferred")
        {
            sight = process_sight::Unknown;
            CHECK(is<send_deferred>(settledVerdict(2)));
        }
        SUBCASE("until its end would have other reasons")
        {
            wait(workTime);
            CHECK(is<send_allowed>(settledVerdict(2)));
            CHECK(is<send_allowed>(verdict(2)));
        }
    }
}

} // namespace azurehill::test
