#pragma once

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

inline constexpr int hosts = 3;
inline constexpr int replicas = 12;
/// Bound on the replicas that may end under one request.
inline constexpr int maxEnded = 3;
inline constexpr duration step = milliseconds(20);
/// Time after a failure in which the client sends its next attempt.
inline constexpr duration clientPause = milliseconds(300);
/// Time after which an impatient client leaves.
inline constexpr duration clientPatience = milliseconds(250);
inline constexpr std::uint16_t crashPortOffset = 3;

inline constexpr std::array<std::string_view, 3> prefixes = {"/safe/", "/unsafe/", "/events/"};

inline route_rule lossRule(std::string_view prefix, route_kind kind)
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

inline routing_config_ptr lossRoutes()
{
    std::vector<route_rule> routes;
    routes.push_back(lossRule("/safe/", route_kind::Idempotent));
    routes.push_back(lossRule("/unsafe/", route_kind::NonIdempotent));
    routes.push_back(lossRule("/events/", route_kind::Stream));
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
    lost_request_fixture(disruption how, bool endsAfterwards) : m_how(how)
    {
        for (int i = 0; i < replicas; ++i) {
            m_replicas.emplace_back(m_context, fmt::format("i-{}", i), how, endsAfterwards);
            m_replicas.back().onMarked = [this] {
                ++sends;
                sentAfterwards += countEnded() >= maxEnded ? 1 : 0;
            };
        }
        for (std::size_t i = 0; i < hosts; ++i)
            m_hosts.push_back(makeDaemon(i));
        introduce();
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

    /// \brief Sends attempts of one request to the hosts in turn until \p count replicas have
    /// ended.
    void askUntilEnded(int count, std::string_view target)
    {
        constexpr int maxAttempts = 12;
        for (std::size_t i = 0; countEnded() < count && i < maxAttempts; ++i) {
            ask(i % m_hosts.size(), target);
            wait(clientPause);
        }
    }
    /// \brief Sends \p count attempts of one request at the same time, each to another host.
    void askAtOnce(std::size_t count, std::string_view target)
    {
        std::vector<std::string> answers(count);
        std::size_t done = 0;
        auto body = [&](std::size_t i) -> awaitable<void> {
            std::string copy(target);
            co_await askOnce(i % m_hosts.size(), std::move(copy), answers[i]);
            ++done;
        };
        for (std::size_t i = 0; i < count; ++i)
            spawn(m_context.get_executor(), "askAtOnce", body(i));
        auto waitForAll = [&]() -> awaitable<void> {
            while (done < count)
                co_await sleepFor(step);
        };
        run(waitForAll());
    }
    /// \brief Sends an attempt to the host number \p host, whose daemon ends while a replica works
    /// on it.
    void askAndRestart(std::size_t host, std::string_view target)
    {
        const int before = sends;
        std::string answer;
        bool isDone = false;
        auto asking = [&]() -> awaitable<void> {
            std::string copy(target);
            co_await askOnce(host, std::move(copy), answer);
            isDone = true;
        };
        spawn(m_context.get_executor(), "askAndRestart", asking());
        auto ending = [&]() -> awaitable<void> {
            while (sends == before && !isDone)
                co_await sleepFor(milliseconds(1));
            restart(host);
            while (!isDone)
                co_await sleepFor(step);
        };
        run(ending());
    }
    void wait(duration time) { run(sleepFor(time)); }

    /// \brief Ends the daemon of the host number \p host without notice, and starts a new one,
    /// which knows no other daemon yet.
    void restart(std::size_t host)
    {
        daemon &old = *m_hosts[host];
        cutOff(old);
        old.store.nextTrouble = [](std::string_view) { return store_trouble::Silent; };
        m_endedDaemons.push_back(std::move(m_hosts[host]));
        m_hosts[host] = makeDaemon(host);
        listReplicas();
    }
    /// \brief Likewise, for all daemons at the same moment.
    void losePower()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            restart(i);
    }
    /// \brief Tells each daemon the others.
    void introduce()
    {
        for (const auto &h : m_hosts) {
            std::vector<member_state> others;
            for (const auto &other : m_hosts) {
                if (other != h)
                    others.push_back(other->state);
            }
            h->service->setMembers(h->state, others);
        }
    }
    /// \brief Cuts the links between the hosts. They still reach the store and the replicas.
    void cutLinks()
    {
        for (const auto &h : m_hosts)
            cutOff(*h);
    }
    /// \brief Takes the store away from all hosts, or gives it back.
    void setStoreAway(bool isAway)
    {
        m_isStoreAway = isAway;
        for (const auto &h : m_hosts)
            h->store.nextTrouble = troubleOfStore();
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
        daemon(asio::io_context &context, row_store &rows) : store(context.get_executor(), rows) { }
        entry_metrics metrics;
        /// The path of this host to the store, which all hosts share.
        store_standin store;
        std::unique_ptr<entry_service> service;
        std::uint16_t port = 0;
        member_state state;
    };

    std::unique_ptr<daemon> makeDaemon(std::size_t number)
    {
        auto h = std::make_unique<daemon>(m_context, m_rows);
        h->store.nextTrouble = troubleOfStore();
        host_settings settings;
        settings.name = {fmt::format("host{}", number)};
        settings.dataCentre = {"dc"};
        settings.storeAddress = {"127.0.0.1", h->store.listen()};
        settings.clients = {"127.0.0.1", 0};
        settings.credits = {"127.0.0.1", 0};
        settings.slots = {"127.0.0.1", 0};
        asio::ip::udp::socket probe(m_context, {asio::ip::address_v4::loopback(), 0});
        settings.crashes = {"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        h->state.name = settings.name;
        h->state.incarnation = ++m_incarnation;
        h->state.gossip = settings.crashes;
        h->state.gossip.port = static_cast<std::uint16_t>(settings.crashes.port - crashPortOffset);
        h->service = std::make_unique<entry_service>(m_context, settings, h->metrics);
        h->port = h->service->start();
        REQUIRE(h->port != 0);
        h->service->setRoutes(lossRoutes());
        return h;
    }

    /// \brief Takes all other daemons from \p h.
    static void cutOff(const daemon &h) { h.service->setMembers(h.state, {}); }

    std::function<store_trouble(std::string_view)> troubleOfStore() const
    {
        const store_trouble trouble
            = m_isStoreAway ? store_trouble::Unavailable : store_trouble::None;
        return [trouble](std::string_view) { return trouble; };
    }

    void listReplicas()
    {
        std::vector<replica_entry> listed;
        for (const ending_replica &replica : m_replicas) {
            if (!replica.hasLapsed())
                listed.push_back(replica.entry);
        }
        for (const auto &h : m_hosts)
            h->service->setReplicas(listed);
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
        co_await client->connect(m_hosts[number]->port);
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
    bool m_isStoreAway = false;
    std::deque<ending_replica> m_replicas;
    std::vector<std::unique_ptr<daemon>> m_hosts;
    /// Daemons that no other one reaches any more, and that reach nothing.
    std::vector<std::unique_ptr<daemon>> m_endedDaemons;
    std::int64_t m_incarnation = 0;
    int m_attempts = 0;
};

} // namespace azurehill::test
