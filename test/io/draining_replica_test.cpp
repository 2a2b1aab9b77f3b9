#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

#include <functional>
#include <string>

namespace azurehill::test {

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// \returns a stream of the events \p from to \p to that breaks off before its end.
std::string brokenStream(int from, int to)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = from; i <= to; ++i) {
        const std::string event = fmt::format("id: {}\ndata: e{}\n\n", i, i);
        text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    return text + "<close>";
}

/// \brief Test fixture: two model replicas, of which the first one breaks its answer off.
struct breaking_replica_fixture
{
    breaking_replica_fixture() : second(w.context, "i-n", "model")
    {
        w.service->setReplicas({w.model.entry});
        w.model.script = {brokenStream(1, 2), scripted_replica::stream(4)};
        second.script = {scripted_replica::stream(4)};
    }

    /// \brief Applies \p change to the entry of the first replica when its answer breaks off, and
    /// lists the second one beside it.
    void changeEntry(std::function<void(replica_entry &)> change)
    {
        w.model.onReply = [this, change = std::move(change)] {
            change(w.model.entry);
            w.service->setReplicas({w.model.entry, second.entry});
        };
    }
    /// \returns the answer to a stream that may be resumed.
    std::string ask() { return w.chat("t1", "one;"); }

    entry_fixture w;
    scripted_replica second;
};

/// \brief Sends one request, and calls \p change while its connection to a replica is being opened.
/// \returns the answer.
std::string askAndChange(entry_fixture &w, const std::string &path,
                         const std::function<void()> &change)
{
    std::string answer;
    bool isDone = false;
    auto exchange = [&]() -> awaitable<void> {
        answer = co_await exchangeRaw(
            w.context, w.port,
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                        "X-Azurehill-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
                        path));
        isDone = true;
    };
    spawn(w.context.get_executor(), "ask", exchange());
    w.context.restart();
    while (w.service->requestsInProgress() == 0)
        w.context.run_one();
    change();
    while (!isDone)
        w.context.run_one();
    return answer;
}

} // namespace

TEST_SUITE("replicas that drain")
{
    // Guards against a stream that is sent to its replica once more after the replica's drain time.
    TEST_CASE("a stream breaks off at a replica that has begun to drain")
    {
        breaking_replica_fixture f;

        SUBCASE("whose drain time lasts: it goes on there")
        {
            f.changeEntry([](replica_entry &entry) {
                entry.draining = true;
                entry.drainDeadline = runtime_clock::now() + seconds(1);
            });
            CHECK(contains(f.ask(), "data: e4"));
            CHECK(f.w.model.arrived.size() == 2);
            CHECK(f.second.arrived.empty());
        }
        SUBCASE("whose drain time is over: it ends, since no other replica may run it")
        {
            f.changeEntry([](replica_entry &entry) { entry.draining = true; });
            const std::string answer = f.ask();
            CHECK(contains(answer, "data: e2"));
            CHECK_FALSE(contains(answer, "data: e3"));
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
            CHECK(f.w.model.arrived.size() == 1);
            CHECK(f.second.arrived.empty());
        }
        SUBCASE("likewise, and its route allows another attempt: it goes on elsewhere")
        {
            const routing_config_ptr usual = entry_fixture::makeRoutes();
            std::vector<route_rule> routes = usual->routes();
            for (route_rule &route : routes)
                route.maxAttempts = 2;
            f.w.service->setRoutes(
                std::make_shared<routing_config>(2, routes, usual->services(), client_limits()));
            f.changeEntry([](replica_entry &entry) { entry.draining = true; });
            CHECK(contains(f.ask(), "data: e4"));
            CHECK(f.w.model.arrived.size() == 1);
            CHECK(f.second.arrived.size() == 1);
        }
        SUBCASE("before its first event: the client learns at once that it may have run")
        {
            f.w.model.script.front() = "";
            f.changeEntry([](replica_entry &entry) { entry.draining = true; });
            CHECK(f.ask().starts_with("HTTP/1.1 502"));
            CHECK(f.w.model.arrived.size() == 1);
            CHECK(f.second.arrived.empty());
        }
        SUBCASE("and whose entry is gone: it goes on at another replica")
        {
            f.w.model.onReply = [&f] { f.w.service->setReplicas({f.second.entry}); };
            CHECK(contains(f.ask(), "data: e4"));
            CHECK(f.w.model.arrived.size() == 1);
            CHECK(f.second.arrived.size() == 1);
        }
        SUBCASE("and has started again under its id: likewise")
        {
            f.changeEntry([](replica_entry &entry) { entry.incarnation.startedUnixMs = 7; });
            CHECK(contains(f.ask(), "data: e4"));
            CHECK(f.w.model.arrived.size() + f.second.arrived.size() == 2);
        }
        SUBCASE("or may have, since the entries are outdated: it ends")
        {
            f.w.model.onReply = [&f] { f.w.service->setReplicasOutdated(true); };
            CHECK_FALSE(f.ask().ends_with("0\r\n\r\n"));
            CHECK(f.w.model.arrived.size() == 1);
        }
    }

    // Guards against a request that is sent by a choice that no longer holds.
    TEST_CASE("something changes while the connection to the chosen replica is opened")
    {
        entry_fixture w;
        w.service->setReplicas({w.a.entry});

        SUBCASE("the replica begins to drain: another one runs the request")
        {
            const std::string answer = askAndChange(w, "/unsafe/x", [&w] {
                w.a.entry.draining = true;
                w.service->setReplicas({w.a.entry, w.b.entry});
            });
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(w.a.arrived.empty());
            CHECK(w.b.arrived.size() == 1);
        }
        SUBCASE("its entry is removed: likewise")
        {
            const std::string answer
                = askAndChange(w, "/unsafe/x", [&w] { w.service->setReplicas({w.b.entry}); });
            CHECK(answer.starts_with("HTTP/1.1 200"));
            CHECK(w.a.arrived.empty());
            CHECK(w.b.arrived.size() == 1);
        }
        SUBCASE("no replica is left: the request is refused")
        {
            const std::string answer
                = askAndChange(w, "/unsafe/x", [&w] { w.service->setReplicas({}); });
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(w.a.arrived.empty());
        }
        SUBCASE("the route is taken away: the request is refused")
        {
            const std::string answer = askAndChange(w, "/unsafe/x", [&w] {
                w.service->setRoutes(std::make_shared<routing_config>(
                    2, std::vector<route_rule>(), std::vector<service_rule>(), client_limits()));
            });
            CHECK(answer.starts_with("HTTP/1.1 503"));
            CHECK(w.a.arrived.empty());
        }
    }
}

} // namespace azurehill::test
