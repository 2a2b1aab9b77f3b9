#include "crashes/crashes.h"
#include "loopback.h"

#include <doctest/doctest.h>

#include <array>
#include <deque>

namespace azurehill::test {

namespace {

const request_fingerprint request = fingerprintOf(std::array<std::string_view, 1>{"request"});

/// \brief A daemon reduced to its crash ledger.
struct ledger_host
{
    ledger_host(asio::io_context &context, int number)
        : exchange(context.get_executor(), ledger, std::uint64_t(number),
                   [](const request_fingerprint &) {})
    {
        self.name = {"host" + std::to_string(number)};
        const std::uint16_t port = exchange.start({"127.0.0.1", 0});
        self.gossip = {"127.0.0.1", static_cast<std::uint16_t>(port - 3)};
    }

    crash_ledger ledger;
    crash_exchange exchange;
    member_state self;
};

/// \brief Test fixture: daemons that share what they know.
class exchange_fixture
{
public:
    explicit exchange_fixture(int hosts)
    {
        for (int i = 0; i < hosts; ++i)
            all.emplace_back(context, i);
        setMembers();
    }

    void setMembers()
    {
        for (ledger_host &host : all) {
            std::vector<member_state> others;
            for (const ledger_host &other : all) {
                if (&other != &host)
                    others.push_back(other.self);
            }
            host.exchange.setMembers(host.self, others);
        }
    }

    /// \brief A replica ends under the request at \p host, which shares that.
    void lose(ledger_host &host, std::uint64_t replica)
    {
        host.ledger.merge({request, duration::zero(), {{replica, 1, replica_fate::Ended}}},
                          runtime_clock::now());
        runIn(context, host.exchange.share(request));
    }

    static bool isRejected(const ledger_host &host)
    {
        return std::holds_alternative<send_rejected>(
            host.ledger.verdict(request, runtime_clock::now()));
    }
    int countRejecting() const
    {
        return static_cast<int>(std::count_if(all.begin(), all.end(), isRejected));
    }

    asio::io_context context;
    std::deque<ledger_host> all;
};

} // namespace

TEST_SUITE("crashes known to all daemons")
{
    // Guards against a request whose attempts reach another daemon each, none of which sees three
    // replicas end.
    TEST_CASE("three daemons that each lost one send know together that it was the third")
    {
        constexpr int hosts = 12;
        exchange_fixture fixture(hosts);
        fixture.lose(fixture.all[0], 1);
        fixture.lose(fixture.all[1], 2);
        CHECK(fixture.countRejecting() == 0);
        const auto informed
            = std::count_if(fixture.all.begin(), fixture.all.end(),
                            [](const ledger_host &host) { return host.ledger.size() > 0; });
        // The two and the custodians, whatever the number of daemons.
        CHECK(informed <= 2 + std::ptrdiff_t(crash_exchange::custodians));

        fixture.lose(fixture.all[2], 3);
        // Before the third daemon answers its client, all others refuse the request.
        CHECK(fixture.countRejecting() == hosts);

        SUBCASE("until an operator lifts that at any of them")
        {
            fixture.all[5].ledger.lift(request, runtime_clock::now());
            runIn(fixture.context,
                  fixture.all[5].exchange.share(request, crash_audience::Everyone));
            CHECK(fixture.countRejecting() == 0);
        }
        SUBCASE("and a daemon that starts later asks")
        {
            ledger_host &late = fixture.all.emplace_back(fixture.context, hosts);
            fixture.setMembers();
            const time_point until = runtime_clock::now() + seconds(5);
            while (!exchange_fixture::isRejected(late) && runtime_clock::now() < until)
                fixture.context.run_one_for(std::chrono::milliseconds(10));
            CHECK(exchange_fixture::isRejected(late));
        }
    }

    // Guards against a daemon that stood still, takes that for an answer that does not come, and
    // sends a request to a fourth replica.
    TEST_CASE("the time in which a daemon stood still does not count as waiting for others")
    {
        exchange_fixture fixture(2);
        asio::io_context ownContext;
        ledger_host stalled(ownContext, 2);
        ledger_host &other = fixture.all[0];
        stalled.exchange.setMembers(stalled.self, {other.self});
        other.exchange.setMembers(other.self, {stalled.self});
        const auto ended = [](std::uint64_t replica) {
            return crash_report{request, duration::zero(), {{replica, 1, replica_fate::Ended}}};
        };
        other.ledger.merge(ended(1), runtime_clock::now());
        other.ledger.merge(ended(2), runtime_clock::now());
        stalled.ledger.merge(ended(3), runtime_clock::now());

        const paused_clock pause;
        bool isShared = false;
        asio::co_spawn(ownContext, stalled.exchange.share(request),
                       [&](const std::exception_ptr &) { isShared = true; });
        ownContext.poll();
        runtime_clock::advance(seconds(1));
        ownContext.run_for(std::chrono::milliseconds(20));
        CHECK_FALSE(isShared);
        fixture.context.run_for(std::chrono::milliseconds(20));
        ownContext.run_for(std::chrono::milliseconds(20));
        CHECK(isShared);
        CHECK(exchange_fixture::isRejected(stalled));
    }

    // Guards against an answer that waits for a daemon that is gone.
    TEST_CASE("daemons that don't answer are waited for only so long")
    {
        exchange_fixture fixture(2);
        fixture.all[1].self.gossip.port = 1;
        fixture.setMembers();
        const time_point began = runtime_clock::now();
        fixture.lose(fixture.all[0], 1);
        CHECK(runtime_clock::now() - began >= crash_exchange::shareTimeout);
        CHECK(runtime_clock::now() - began < seconds(5));
    }
}

} // namespace azurehill::test
