#include "entry/replica_prober.h"
#include "scripted_replica.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

constexpr duration step = milliseconds(20);

/// \brief Test fixture: a listed replica that answers one check as its script says.
class prober_fixture
{
public:
    prober_fixture()
        : replica(m_context, "i-1", "s"), m_loadBalancer({"dc"}, 1),
          m_prober(m_context.get_executor(), m_loadBalancer)
    {
        list({replica.entry});
    }

    void list(const std::vector<replica_entry> &listed)
    {
        m_loadBalancer.setReplicas(listed, runtime_clock::now());
    }
    /// \returns what \p count checks at the same time see of the replica.
    std::vector<process_sight> inquire(std::size_t count = 1)
    {
        std::vector<process_sight> seen;
        auto body = [&]() -> awaitable<void> {
            std::vector<std::uint64_t> asked(count, digestOf(replica.entry.incarnation));
            const time_point began = runtime_clock::now();
            seen = co_await m_prober.inquire(std::move(asked));
            waited = runtime_clock::now() - began;
        };
        const paused_clock pause;
        runInSteps(m_context, body(), step);
        return seen;
    }

private:
    asio::io_context m_context;

public:
    scripted_replica replica;
    duration waited = duration::zero();

private:
    replica_load_balancer m_loadBalancer;
    replica_prober m_prober;
};

using sights = std::vector<process_sight>;

} // namespace

TEST_SUITE("replicas that are asked whether they live")
{
    // Guards against another process at the address, or a host alone, that is taken for the
    // replica.
    TEST_CASE_FIXTURE(prober_fixture, "only an answer of the process itself shows that it lives")
    {
        SUBCASE("a healthy one, which is asked by its id")
        {
            CHECK(inquire() == sights{process_sight::Alive});
            CHECK(replica.arrived.at(0).find("X-Azurehill-Expect-Instance: i-1\r\n")
                  != std::string::npos);
        }
        SUBCASE("one that is full")
        {
            replica.script = {"HTTP/1.1 503 Service Unavailable\r\nX-Azurehill-Not-Run: full\r\n"
                              "Content-Length: 0\r\n\r\n"};
            CHECK(inquire() == sights{process_sight::Alive});
        }
        SUBCASE("not another one that refuses the check")
        {
            replica.script = {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"};
            CHECK(inquire() == sights{process_sight::Replaced});
        }
        SUBCASE("not another one that names itself")
        {
            replica.script = {"HTTP/1.1 200 OK\r\nX-Azurehill-Instance-Id: i-2\r\n"
                              "Content-Length: 0\r\n\r\n"};
            CHECK(inquire() == sights{process_sight::Replaced});
        }
        SUBCASE("not a connection without an answer")
        {
            replica.script = {std::string(scripted_replica::pauseMark)};
            CHECK(inquire() == sights{process_sight::Unknown});
            CHECK(waited <= replica_prober::timeout + 2 * step);
        }
        SUBCASE("not bytes that are no answer")
        {
            replica.script = {"no answer\r\n\r\n<close>"};
            CHECK(inquire() == sights{process_sight::Unknown});
        }
        SUBCASE("not a head that no answer may have")
        {
            replica.script = {"HTTP/1.1 000 X\r\nX-Azurehill-Instance-Id: i-1\r\n"
                              "Content-Length: 0\r\n\r\n"};
            CHECK(inquire() == sights{process_sight::Unknown});
        }
        SUBCASE("not a refused connection")
        {
            replica.closeAcceptor();
            CHECK(inquire() == sights{process_sight::Unknown});
        }
        SUBCASE("and one that is not listed has no address")
        {
            list({});
            CHECK(inquire() == sights{process_sight::Unknown});
            CHECK(replica.arrived.empty());
        }
    }

    // Guards against many requests that each ask the same replica.
    TEST_CASE_FIXTURE(prober_fixture, "requests that wait for one replica share one check")
    {
        constexpr std::size_t count = 5;
        CHECK(inquire(count) == sights(count, process_sight::Alive));
        CHECK(replica.arrived.size() == 1);
    }
}

} // namespace azurehill::test
