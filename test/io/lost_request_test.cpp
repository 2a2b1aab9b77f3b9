#include "ending_replica.h"
#include "entry/entry_service.h"
#include "standin/store_standin.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace azurehill::test {

namespace {

constexpr int hosts = 3;
constexpr int replicas = 12;
/// Bound on the replicas that may end under one request.
constexpr int maxEnded = 3;
constexpr duration step = milliseconds(20);
/// Time after a failure in which the client sends its next attempt.
constexpr duration clientPause = milliseconds(300);
/// Time after which an impatient client leaves.
constexpr duration clientPatience = milliseconds(250);
constexpr std::uint16_t crashPortOffset = 3;

constexpr std::array<std::string_view, 3> prefixes = {"/safe/", "/unsafe/", "/events/"};

route_rule rule(std::string_view prefix, route_kind kind)
{
    route_rule r;
    r.name = prefix;
    r.hostname = "h.example";
    r.prefix = prefix;
    r.kind = kind;
    r.timeout = seconds(5);
    r.maxAttempts = 2;
    r.services = {{"tools", 1}};
    return r;
}

routing_config_ptr makeRoutes()
{
    std::vector<route_rule> routes;
    routes.push_back(rule("/safe/", route_kind::Idempotent));
    routes.push_back(rule("/unsafe/", route_kind::NonIdempotent));
    routes.push_back(rule("/events/", route_kind::Stream));
    routes.back().isResumable = true;
    routes.back().maxEventGap = milliseconds(300);
    return std::make_shared<routing_config>(1, routes, std::vector<service_rule>(),
                                            client_limits());
}

/// \brief Test fixture: daemons that share what they know, and replicas that a marked request
/// disrupts.
class lost_request_fixture
{
public:
    lost_request_fixture(disruption how, bool endsAfterwards)
        : m_how(how), m_store(m_context.get_executor(), m_rows)
    {
        for (int i = 0; i < replicas; ++i) {
            m_replicas.emplace_back(m_context, fmt::format("i-{}", i), how, endsAfterwards);
            m_replicas.back().onMarked = [this] {
                ++sends;
                sentAfterwards += countEnded() >= maxEnded ? 1 : 0;
            };
        }
        m_storePort = m_store.listen();
        for (int i = 0; i < hosts; ++i)
            startHost(i);
        setMembers();
        listReplicas();
    }

    /// \brief Sends attempts of one request to the hosts in turn for \p time, whatever they are
    /// answered, one at a time and each after the last one's Retry-After.
    void askFor(duration time, std::string_view target)
    {
        run(askRepeatedly(time, std::string(target)));
    }
    /// \brief Sends one attempt of a request to the host number \p host. \returns its answer.
    std::string ask(std::size_t host, std::string_view target)
    {
        std::string answer;
        run(askOnce(host, std::string(target), answer));
        return answer;
    }

    int countEnded() const
    {
        return static_cast<int>(std::count_if(m_replicas.begin(), m_replicas.end(),
                                              [](const auto &r) { return r.hasEnded(); }));
    }
    /// Sends of a marked request.
    int sends = 0;
    /// Those of them that arrived after maxEnded replicas had ended under it.
    int sentAfterwards = 0;
    /// The last answer to a marked request that was sent by askFor().
    std::string last;
    /// Answers to unmarked requests that say that the request was refused.
    int refusedOthers = 0;

private:
    struct daemon
    {
        entry_metrics metrics;
        std::unique_ptr<entry_service> service;
        std::uint16_t port = 0;
        member_state state;
    };

    void startHost(int number)
    {
        host_settings settings;
        settings.name = {fmt::format("host{}", number)};
        settings.dataCentre = {"dc"};
        settings.storeAddress = {"127.0.0.1", m_storePort};
        settings.clients = {"127.0.0.1", 0};
        settings.credits = {"127.0.0.1", 0};
        settings.slots = {"127.0.0.1", 0};
        asio::ip::udp::socket probe(m_context, {asio::ip::address_v4::loopback(), 0});
        settings.crashes = {"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        daemon &h = m_hosts.emplace_back();
        h.state.name = settings.name;
        h.state.incarnation = static_cast<std::int64_t>(m_hosts.size());
        h.state.gossip = settings.crashes;
        h.state.gossip.port = static_cast<std::uint16_t>(settings.crashes.port - crashPortOffset);
        h.service = std::make_unique<entry_service>(m_context, settings, h.metrics);
        h.port = h.service->start();
        REQUIRE(h.port != 0);
        h.service->setRoutes(makeRoutes());
    }

    void setMembers()
    {
        for (const daemon &h : m_hosts) {
            std::vector<member_state> others;
            for (const daemon &other : m_hosts) {
                if (&other != &h)
                    others.push_back(other.state);
            }
            h.service->setMembers(h.state, others);
        }
    }

    void listReplicas()
    {
        std::vector<replica_entry> listed;
        for (const ending_replica &replica : m_replicas) {
            if (!replica.hasLapsed())
                listed.push_back(replica.entry);
        }
        for (const daemon &h : m_hosts)
            h.service->setReplicas(listed);
    }

    void run(awaitable<void> body)
    {
        bool isDone = false;
        auto listing = [this, &isDone]() -> awaitable<void> {
            while (!isDone) {
                listReplicas();
                co_await sleepFor(milliseconds(100));
            }
        };
        auto both = [&isDone, &body]() -> awaitable<void> {
            co_await std::move(body);
            isDone = true;
        };
        using namespace asio::experimental::awaitable_operators;
        runInSteps(m_context, listing() && both(), step);
    }

    awaitable<void> askRepeatedly(duration time, std::string target)
    {
        const time_point until = runtime_clock::now() + time;
        for (std::size_t i = 0; runtime_clock::now() < until; ++i) {
            std::string marked = target;
            co_await askOnce(i % m_hosts.size(), std::move(marked), last);
            std::string other;
            std::string otherTarget = "/safe/other";
            co_await askOnce(i % m_hosts.size(), std::move(otherTarget), other);
            refusedOthers += other.starts_with("HTTP/1.1 503") ? 1 : 0;
            co_await sleepFor(std::max(clientPause, retryAfter(last)));
        }
    }

    awaitable<void> askOnce(std::size_t number, std::string target, std::string &answer)
    {
        const bool isImpatient
            = m_how == disruption::WorksOn && target.find("marked") != target.npos;
        auto client = std::make_shared<raw_client>(m_context);
        co_await client->connect(m_hosts[number].port);
        std::string bytes = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\n"
                                        "X-Azurehill-Request-Id: r{}\r\n"
                                        "X-Azurehill-Request-Deadline: 2000\r\n"
                                        "Connection: close\r\n\r\n",
                                        target, ++m_attempts);
        co_await client->send(std::move(bytes));
        if (isImpatient)
            spawn(m_context.get_executor(), "leave", leave(client));
        answer = co_await client->readToEnd();
    }

    static awaitable<void> leave(std::shared_ptr<raw_client> client)
    {
        co_await sleepFor(clientPatience);
        client->close();
    }

    static duration retryAfter(const std::string &answer)
    {
        constexpr std::string_view name = "Retry-After: ";
        const std::size_t at = answer.find(name);
        return at == std::string::npos
            ? duration::zero()
            : milliseconds(std::int64_t(1000 * std::stod(answer.substr(at + name.size()))));
    }

    /// For the whole test: a clock that goes on in between would go back.
    const paused_clock m_pause;
    disruption m_how;
    asio::io_context m_context;
    row_store m_rows;
    store_standin m_store;
    std::uint16_t m_storePort = 0;
    std::deque<ending_replica> m_replicas;
    std::deque<daemon> m_hosts;
    int m_attempts = 0;
};

/// All disruptions: of none can the daemon tell at once whether the replica ended.
constexpr std::array<disruption, 10> disruptions = {disruption::ClosesBeforeHead,
                                                    disruption::ClosesInsideBody,
                                                    disruption::FallsSilentBeforeHead,
                                                    disruption::FallsSilentInsideBody,
                                                    disruption::SendsGarbage,
                                                    disruption::SendsForeignAnswer,
                                                    disruption::SendsBrokenChunk,
                                                    disruption::SendsInterimHeads,
                                                    disruption::WorksOn,
                                                    disruption::OutlivesEntry};

} // namespace

TEST_SUITE("requests whose sends are lost")
{
    // Guards against a request that ends one replica after the other in a way that the daemon
    // does not take for an end, or learns of only after the next attempt.
    TEST_CASE("no replica gets a request under which three have ended, however they ended")
    {
        constexpr duration time = seconds(16);
        for (const disruption how : disruptions) {
            for (const std::string_view prefix : prefixes) {
                const std::string where = fmt::format("{} {}", prefix, toName(how));
                CAPTURE(where);
                lost_request_fixture fixture(how, true);
                fixture.askFor(time, fmt::format("{}marked", prefix));
                CHECK(fixture.countEnded() <= maxEnded);
                CHECK(fixture.sentAfterwards == 0);
                CHECK(fixture.refusedOthers == 0);
            }
        }
    }

    // Guards against a sign of life that clears a replica whose process is about to end.
    TEST_CASE("no replica gets a request under which three have ended after they answered others")
    {
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            lost_request_fixture fixture(disruption::ClosesAndLingers, true);
            fixture.askFor(seconds(16), fmt::format("{}marked", prefix));
            CHECK(fixture.countEnded() >= maxEnded);
            CHECK(fixture.sentAfterwards == 0);
            CHECK(fixture.refusedOthers == 0);
        }
    }

    // Guards against a request that is refused although its replicas misbehave and live.
    TEST_CASE("a request whose sends are lost by replicas that live is sent again")
    {
        constexpr duration time = seconds(16);
        for (const disruption how : disruptions) {
            for (const std::string_view prefix : prefixes) {
                const std::string where = fmt::format("{} {}", prefix, toName(how));
                CAPTURE(where);
                lost_request_fixture fixture(how, false);
                fixture.askFor(time, fmt::format("{}marked", prefix));
                CHECK(fixture.countEnded() == 0);
                CHECK(fixture.sends > maxEnded);
                CHECK(fixture.last.find("replicas ended") == std::string::npos);
                CHECK(fixture.refusedOthers == 0);
            }
        }
    }

    // Guards against a request that is refused although its replicas live and answer when asked.
    TEST_CASE("replicas that lost a request and live are asked, and it is sent at once")
    {
        for (const disruption how : {disruption::ClosesBeforeHead, disruption::ClosesInsideBody}) {
            CAPTURE(std::string(toName(how)));
            lost_request_fixture fixture(how, false);
            constexpr int attempts = 2 * hosts;
            for (int i = 0; i < attempts; ++i)
                CHECK(fixture.ask(std::size_t(i) % hosts, "/unsafe/marked").find("503")
                      == std::string::npos);
            CHECK(fixture.sends == attempts);
        }
    }
}

} // namespace azurehill::test
