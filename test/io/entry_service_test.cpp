#include <doctest/doctest.h>

// doctest's macros are used by the world.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

std::string request(const std::string &path, const std::string &id)
{
    return fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: {}", path, id);
}

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("entry service")
{
    TEST_CASE("a request reaches a replica as the client sent it")
    {
        entry_fixture w;
        const std::string head = request("/safe/x?q=1", "r1")
            + "\r\nX-Other: kept\r\nX-Azurehill-Hold: mine\r\nKv-From: 1.2.3.4:5/x";
        CHECK(statusOf(w.ask(head, "body")) == 200);
        std::vector<std::string> arrived = w.a.arrived;
        arrived.insert(arrived.end(), w.b.arrived.begin(), w.b.arrived.end());
        REQUIRE(arrived.size() == 1);
        const std::string &seen = arrived.front();
        CHECK(contains(seen, "POST /safe/x?q=1 HTTP/1.1\r\n"));
        CHECK(contains(seen, "Host: h.example"));
        CHECK(contains(seen, "X-Other: kept"));
        CHECK(contains(seen, "X-Azurehill-Expect-Instance: i-"));
        CHECK(contains(seen, "X-Azurehill-Request-Deadline: "));
        CHECK(seen.ends_with("\r\n\r\nbody"));
        CHECK_FALSE(contains(seen, "X-Azurehill-Hold"));
        CHECK_FALSE(contains(seen, "Kv-From"));
    }

    TEST_CASE("what is not the replica's whole answer never reaches the client as one")
    {
        entry_fixture w;

        SUBCASE("a success without the replica's stamp")
        {
            const std::string bad = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                                    "Content-Length: 2\r\n\r\nno";
            w.a.script = w.b.script = {bad};
            CHECK(statusOf(w.ask(request("/unsafe/x", "r1"))) == 502);
        }
        SUBCASE("a body that ends early")
        {
            const std::string bad
                = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                  "X-Azurehill-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nno<close>";
            w.a.script = w.b.script = {bad};
            CHECK(statusOf(w.ask(request("/unsafe/x", "r1"))) == 502);
        }
        SUBCASE("a second answer on a kept connection")
        {
            // A runner's receipt showed another runner's name: the replica had answered the request
            // before twice, and the second answer was read as that of the next request.
            const std::string twice
                = scripted_replica::good("first") + scripted_replica::good("first again");
            w.a.script = w.b.script = {twice};
            CHECK(contains(w.ask(request("/safe/x", "r1")), "first"));
            for (int i = 2; i < 6; ++i) {
                const std::string answer = w.ask(request("/safe/x", "r" + std::to_string(i)));
                CHECK(statusOf(answer) == 200);
                CHECK_FALSE(contains(answer, "again"));
            }
        }
    }

    TEST_CASE("a request is sent again only where that is certainly allowed")
    {
        entry_fixture w;
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Azurehill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

        SUBCASE("an idempotent one whose answer was lost goes to another replica")
        {
            w.a.script = w.b.script = {""};
            w.b.script.clear();
            for (int i = 0; i < 4; ++i)
                CHECK(statusOf(w.ask(request("/safe/x", "r" + std::to_string(i)))) == 200);
        }
        SUBCASE("a non-idempotent one whose answer was lost does not, and is not called refused")
        {
            // A family paid twice: the first receipt was written and its answer lost.
            w.a.script = w.b.script = {""};
            CHECK(statusOf(w.ask(request("/unsafe/x", "r1"))) == 502);
            CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
        }
        SUBCASE("one that a replica refused goes to another, whatever its kind")
        {
            w.a.script = {refusal};
            w.b.script = {refusal};
            w.b.script.clear();
            for (int i = 0; i < 4; ++i)
                CHECK(statusOf(w.ask(request("/unsafe/x", "r" + std::to_string(i)))) == 200);
        }
        SUBCASE("when all refuse, the client is told so, and when to come back")
        {
            w.a.script = w.b.script = {refusal, refusal, refusal, refusal};
            const std::string answer = w.ask(request("/unsafe/x", "r1"));
            CHECK(statusOf(answer) == 503);
            CHECK(contains(answer, "Retry-After: "));
        }
    }

    TEST_CASE("connections to replicas are used again")
    {
        const paused_clock pause;
        entry_fixture w;
        w.service->setReplicas({w.a.entry});

        SUBCASE("after ten idle seconds by a request that may be sent again")
        {
            // Every other request of a quiet night opened a connection, each of which takes one of
            // the replica's slots for a moment and is priced.
            for (int i = 0; i < 20; ++i) {
                CHECK(statusOf(w.ask(request("/safe/x", "r" + std::to_string(i)))) == 200);
                runtime_clock::advance(seconds(10));
            }
            CHECK(w.a.connections == 1);
        }
        SUBCASE("but none to a process that is over")
        {
            // A receipt was lost each time a replica had started again under its id: its old
            // connections looked alive, and the first request on each was cut off.
            CHECK(statusOf(w.ask(request("/unsafe/x", "r1"))) == 200);
            replica_entry restarted = w.a.entry;
            restarted.incarnation.startedUnixMs = 1'700'000'000'000;
            w.service->setReplicas({restarted});
            CHECK(statusOf(w.ask(request("/unsafe/x", "r2"))) == 200);
            CHECK(w.a.connections == 2);
        }
        SUBCASE("but a request that may run once only gets one that was in use just now")
        {
            // A payment went out on a connection whose replica had fallen silent a while ago. It
            // could not be sent again, and the family saw an error for a replica long replaced.
            CHECK(statusOf(w.ask(request("/unsafe/x", "u1"))) == 200);
            runtime_clock::advance(seconds(5));
            CHECK(statusOf(w.ask(request("/unsafe/x", "u2"))) == 200);
            CHECK(w.a.connections == 1);
            runtime_clock::advance(seconds(10));
            CHECK(statusOf(w.ask(request("/unsafe/x", "u3"))) == 200);
            CHECK(w.a.connections == 2);
        }
    }

    TEST_CASE("a turn gets the history of its chain, byte for byte")
    {
        entry_fixture w;
        w.model.script = {scripted_replica::stream(2), scripted_replica::stream(1)};
        const std::string first = w.turn("t1", "", "one;");
        CHECK(statusOf(first) == 200);
        CHECK(contains(first, "data: e2"));
        CHECK(first.ends_with("0\r\n\r\n"));
        CHECK(statusOf(w.turn("t2", "t1", "two;")) == 200);
        REQUIRE(w.model.arrived.size() == 2);
        CHECK(w.model.arrived[1].ends_with("\r\n\r\none;e1\ne2\ntwo;"));

        SUBCASE("a turn that does not exist is unknown")
        {
            CHECK(statusOf(w.turn("t3", "never", "three;")) == 404);
        }
        SUBCASE("another daemon finds it in the store")
        {
            w.restart();
            w.model.script = {scripted_replica::stream(1)};
            CHECK(statusOf(w.turn("t3", "t2", "three;")) == 200);
            CHECK(w.model.arrived.back().ends_with("one;e1\ne2\ntwo;e1\nthree;"));
        }
    }

    TEST_CASE("a stream that breaks off does not look whole, and its turn does not count")
    {
        // A translator's page ended in mid-sentence and was taken as finished: the replica had
        // crashed, and the daemon had closed the answer properly.
        entry_fixture w;
        std::string broken = scripted_replica::stream(3);
        broken.resize(broken.size() - 5);
        w.model.script = {broken + "<close>"};
        const std::string answer = w.turn("t1", "", "one;");
        CHECK(contains(answer, "data: e3"));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        CHECK(statusOf(w.turn("t2", "t1", "two;")) == 404);
    }

    TEST_CASE("a budget that does not hold a turn refuses it before it runs")
    {
        entry_fixture w;
        w.model.script = {scripted_replica::stream(5)};
        CHECK(statusOf(w.turn("t1", "", "one;", 45)) == 200);
        CHECK(statusOf(w.turn("t2", "t1", "two;", 45)) == 402);
        CHECK(w.model.arrived.size() == 1);
    }

    TEST_CASE("while the store is away no turn is promised")
    {
        entry_fixture w;

        SUBCASE("a turn that would begin is refused at once, with the time to come back")
        {
            w.store.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
            const std::string answer = w.turn("t1", "", "one;");
            CHECK(statusOf(answer) == 503);
            CHECK(contains(answer, "Retry-After: 2.000"));
            CHECK(w.model.arrived.empty());
        }
        SUBCASE("the end of an answer waits until it is durable")
        {
            // A teacher's turn was answered whole, all hosts lost power, and the next page was
            // answered 404. The store had not acknowledged the turn yet.
            w.model.script = {scripted_replica::stream(2)};
            int commits = 0;
            w.store.nextTrouble = [&](std::string_view path) {
                const bool isWrite = path == "/azurehill/rows-tx";
                const bool fails = isWrite && ++commits > 1 && commits < 4;
                return fails ? store_trouble::AnswerLost : store_trouble::None;
            };
            const std::string answer = w.turn("t1", "", "one;");
            CHECK(answer.ends_with("0\r\n\r\n"));
            CHECK(commits >= 3);
            CHECK(w.rows.size() == 3);
        }
        SUBCASE("plain calls go on")
        {
            w.store.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
            CHECK(statusOf(w.ask(request("/safe/x", "r1"))) == 200);
        }
    }

    TEST_CASE("the metrics tell how replicas behave")
    {
        // On call, the sends of a host whose replicas had all failed could not be told from those
        // of a host without traffic: the counter was there and nothing ever counted.
        entry_fixture w;

        SUBCASE("how what is sent to them ends")
        {
            w.ask(request("/safe/x", "r1"));
            CHECK(contains(w.metrics.toText({}), "azurehill_sends_total{end=\"answered\"} 1"));
        }
        SUBCASE("and how many of them are doubted")
        {
            replica_entry dead = w.a.entry;
            dead.address.port = w.freePort();
            w.service->setReplicas({dead});
            CHECK(statusOf(w.ask(request("/safe/x", "r1"))) == 503);
            const auto isReported = [&w] {
                return contains(w.metrics.toText({}),
                                "azurehill_state{what=\"doubted_replicas\"} 1");
            };
            // The daemon looks at its replicas now and then while it answers other requests.
            for (int i = 0; i < 1000 && !isReported(); ++i)
                w.ask(request("/nowhere", "r2"));
            CHECK(isReported());
        }
    }

    TEST_CASE("a daemon that knows no configuration calls no route unknown")
    {
        // Right after all hosts had lost power, lessons ended with 404: a daemon had begun to
        // listen before it had read the configuration.
        entry_fixture w;
        w.restart(nullptr);
        CHECK(statusOf(w.ask(request("/safe/x", "r1"))) == 503);
        w.service->setRoutes(entry_fixture::makeRoutes());
        CHECK(statusOf(w.ask(request("/safe/x", "r2"))) == 200);
        CHECK(statusOf(w.ask(request("/none/x", "r3"))) == 404);
    }

    TEST_CASE("two requests in one are not taken for one")
    {
        entry_fixture w;
        const std::string smuggled = request("/safe/x", "r1")
            + "\r\nTransfer-Encoding: chunked"; // beside the Content-Length that ask() adds
        CHECK(statusOf(w.ask(smuggled, "0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n")) == 400);
        CHECK(statusOf(w.ask(request("/safe/x", "r1") + "\r\nX-Azurehill-Request-Id: r2")) == 400);
        CHECK(w.a.arrived.size() + w.b.arrived.size() == 0);
    }
}

} // namespace azurehill::test
