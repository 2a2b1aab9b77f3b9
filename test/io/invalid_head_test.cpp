#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"
#include "invalid_heads.h"
#include "members/peer_transport.h"
#include "platform/platform_store.h"

namespace azurehill::test {

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("heads that are no answer")
{
    // Guards against a head that a parser can read and that no final response may have.
    TEST_CASE("a response with such a head is an error for each of its readers")
    {
        SUBCASE("as the only head")
        {
            for (const invalid_head &head : invalidHeads()) {
                CAPTURE(head.name);
                const exchange_result result = exchangeWith(plainResponse(head));
                REQUIRE_FALSE(result);
                CHECK(result.error().kind == http_error_kind::Malformed);
                CHECK(result.error().ran == outcome::Unknown);
            }
        }
        SUBCASE("after an interim one")
        {
            for (const invalid_head &head : invalidHeads()) {
                CAPTURE(head.name);
                CHECK_FALSE(exchangeWith("HTTP/1.1 103 Early Hints\r\n\r\n" + plainResponse(head)));
            }
        }
        SUBCASE("as an interim one")
        {
            for (invalid_head head : invalidHeads()) {
                if (!head.statusLine.starts_with("HTTP/1.1 200 OK") || contains(head.name, "length")
                    || contains(head.name, "coding") || contains(head.name, "chunks"))
                    continue;
                CAPTURE(head.name);
                head.statusLine = "HTTP/1.1 103 Early Hints";
                const std::string interim
                    = fmt::format("{}\r\n{}\r\n\r\n", head.statusLine, head.field);
                CHECK_FALSE(exchangeWith(interim + scripted_replica::good("whole")));
            }
        }
    }

    TEST_CASE("a status is one of those from 200 to 599, behind interim ones")
    {
        constexpr int firstInterim = 100;
        constexpr int firstFinal = 200;
        constexpr int firstInvalid = 600;
        constexpr int upgrade = 101;
        for (int status = 0; status < 1000; ++status) {
            CAPTURE(status);
            const bool isInterim = status >= firstInterim && status < firstFinal;
            const std::string head = fmt::format("HTTP/1.1 {:03} X\r\n", status);
            const exchange_result result
                = exchangeWith(isInterim ? head + "\r\n" + scripted_replica::good("")
                                         : head + "Content-Length: 0\r\n\r\n");
            const bool isValid
                = status >= firstInterim && status < firstInvalid && status != upgrade;
            REQUIRE(result.has_value() == isValid);
            if (isValid)
                CHECK(result->status == (isInterim ? firstFinal : status));
        }
    }

    // Guards against heads that are refused although they are in order.
    TEST_CASE("a head in order is read")
    {
        for (const std::string &bytes :
             {std::string("HTTP/1.0 200 OK\r\n\r\nab<close>"),
              std::string("HTTP/1.1 299 \r\nContent-Length: 2\r\n\r\nab"),
              std::string("HTTP/1.1 200 \xc3\xa4\r\nX!#$%&'*+-.^_`|~9: \xc3\xa4\t \"(),/:;\r\n"
                          "X-Empty:\r\nContent-Length:2\r\n\r\nab"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab")}) {
            CAPTURE(bytes);
            const exchange_result result = exchangeWith(bytes);
            REQUIRE(result);
            CHECK(result->body == "ab");
        }
    }

    // Guards against a trailer line that is passed on, or hides the end of the body.
    TEST_CASE("a trailer with such a field ends no body")
    {
        for (const invalid_head &head : invalidHeads()) {
            if (!head.statusLine.starts_with("HTTP/1.1 200 OK") || contains(head.name, "length")
                || contains(head.name, "coding") || contains(head.name, "chunks"))
                continue;
            CAPTURE(head.name);
            CHECK_FALSE(exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "2\r\nab\r\n0\r\n"
                                     + head.field + "\r\n\r\n<close>"));
        }
    }

    // Guards against a replica in trouble whose answer reaches a client.
    TEST_CASE("no client of the platform gets such an answer")
    {
        entry_fixture w;

        SUBCASE("a request that may run once fails, and runs once")
        {
            for (const invalid_head &head : invalidHeads()) {
                CAPTURE(head.name);
                entry_fixture one;
                one.a.script = one.b.script = {plainResponse(head)};
                CHECK(one.ask("POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: u")
                          .starts_with("HTTP/1.1 502"));
                CHECK(one.a.arrived.size() + one.b.arrived.size() == 1);
                CHECK(contains(one.metrics.toText({}), "azurehill_sends_total{end=\"broken\"} 1"));
            }
        }
        SUBCASE("an idempotent one goes to another replica")
        {
            w.a.onReply = [&w] { w.b.script.clear(); };
            w.b.onReply = [&w] { w.a.script.clear(); };
            int number = 0;
            for (const invalid_head &head : invalidHeads()) {
                CAPTURE(head.name);
                w.a.script = w.b.script = {plainResponse(head)};
                const std::string request
                    = fmt::format("GET /safe/{} HTTP/1.1\r\nX-Azurehill-Request-Id: s", ++number);
                CHECK(w.ask(request).ends_with("\r\n\r\nok"));
            }
        }
        SUBCASE("a turn fails, and is not there for the next one")
        {
            for (const invalid_head &head : invalidHeads()) {
                CAPTURE(head.name);
                entry_fixture one;
                one.model.script = {responseWith(head, "text/event-stream", "id: 1\ndata: e1\n\n")};
                CHECK(one.turn("t1", "", "one;").starts_with("HTTP/1.1 502"));
                CHECK(one.turn("t2", "t1", "two;").starts_with("HTTP/1.1 404"));
            }
        }
        SUBCASE("a stream that breaks off is not resumed with one")
        {
            for (const invalid_head &head : parsedHeads()) {
                CAPTURE(head.name);
                entry_fixture one;
                const std::string bad
                    = responseWith(head, "text/event-stream", "id: 2\ndata: e2\n\n");
                std::string part = scripted_replica::stream(1);
                part.resize(part.size() - 5);
                one.model.script = {part + "<close>", bad, bad, bad, bad, bad};
                const std::string answer
                    = one.ask("POST /chat/1 HTTP/1.1\r\nX-Azurehill-Request-Id: c");
                CHECK(contains(answer, "data: e1\n\n"));
                CHECK_FALSE(contains(answer, "data: e2"));
                CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
            }
        }
        SUBCASE("a refusal with one proves nothing")
        {
            w.a.script = w.b.script
                = {"HTTP/1.1 000 X\r\nX-Azurehill-Request-Id: ID\r\nX-Azurehill-Not-Run: full\r\n"
                   "Content-Length: 0\r\n\r\n"};
            CHECK(w.ask("POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: u")
                      .starts_with("HTTP/1.1 502"));
            CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
        }
        SUBCASE("and the connection is not used again")
        {
            w.service->setReplicas({w.a.entry});
            w.a.script = {"HTTP/1.1 000 X\r\nX-Azurehill-Request-Id: ID\r\n"
                          "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: 0\r\n\r\n"};
            w.ask("POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: u1");
            CHECK(w.ask("POST /unsafe/2 HTTP/1.1\r\nX-Azurehill-Request-Id: u2").ends_with("ok"));
            CHECK(w.a.connections == 2);
        }
    }

    // Guards against rows, or an acknowledgement, of a store in trouble or of a peer.
    TEST_CASE("no answer of the store with such a head counts")
    {
        asio::io_context context;
        scripted_replica server(context, "store", "store");
        scripted_replica peer(context, "peer", "peer");
        const auto transport
            = std::make_shared<peer_transport>(context.get_executor(), server.entry.address);
        platform_store store(transport);
        bool isThroughPeer = false;
        SUBCASE("of the store itself") { }
        SUBCASE("through a peer")
        {
            isThroughPeer = true;
            transport->setPeers({peer.entry.address});
        }
        for (const invalid_head &head : invalidHeads()) {
            CAPTURE(head.name);
            const std::string body = R"({"ver":7,"rows":[]})";
            const std::string bad = responseWith(head, "application/json", body);
            const std::string away = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";
            server.script = isThroughPeer ? std::deque<std::string>(4, away)
                                          : std::deque<std::string>(4, bad);
            peer.script = std::deque<std::string>(4, bad);
            auto call = [&]() -> awaitable<void> {
                const time_point deadline = runtime_clock::now() + seconds(5);
                row_range range{"t", "p", "", ""};
                const auto page = co_await store.read(std::move(range), deadline);
                CHECK_FALSE(page.has_value());
                store_transaction t;
                t.writes.push_back({{"t", "p", "a"}, "x"});
                const auto written = co_await store.transact(std::move(t), deadline);
                CHECK_FALSE(written.has_value());
            };
            runIn(context, call());
        }
    }
}

} // namespace azurehill::test
