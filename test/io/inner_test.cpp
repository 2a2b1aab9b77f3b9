#include "inner/inner.h"
#include "io/loopback.h"

#include <doctest/doctest.h>

using namespace azurehill;
using namespace azurehill::test;

namespace {

const daemon_run runA{{"a"}, "1"};
const daemon_run runB{{"b"}, "1"};

std::string responseOfB(const std::string &request)
{
    inner_server b([](const heartbeat &beat) { return heartbeat{runB, beat.evidence}; });
    return b.answer(request);
}

/// \brief Daemon "a" sends heartbeats to the listener of "b"; the test advances the clock.
class two_daemons
{
public:
    two_daemons()
        : server(context.get_executor(), limits(),
                 [this](const http_request &r, response_writer &w) { return serve(r, w); }),
          port(server.listen({"127.0.0.1", 0})), a(context, runA, "secret", {})
    { }

    void watch()
    {
        const std::string address = toText({"127.0.0.1", port});
        view.members = {{runA.daemon, runA.incarnation, address, address, {"dc"}},
                        {runB.daemon, runB.incarnation, address, address, {"dc"}}};
        a.onView(view);
        a.start();
    }

    void runUntil(const std::function<bool()> &condition)
    {
        // Socket I/O takes real time: the paused clock must not advance much faster.
        while (!condition()) {
            runtime_clock::advance(milliseconds(4));
            context.restart();
            context.run_for(milliseconds(1));
        }
    }

    paused_clock clock;
    asio::io_context context;
    notifier never;
    int answers = 0;
    bool stallNext = false;
    http_server server;
    std::uint16_t port;
    cell_view view{1, 1, {}};
    heartbeats a;

private:
    static http_limits limits()
    {
        http_limits l;
        l.idleTimeout = std::chrono::hours(1);
        return l;
    }

    awaitable<void> serve(const http_request &request, response_writer &writer)
    {
        if (std::exchange(stallNext, false))
            co_await never.waitForChangeSince(never.version());
        http_response response = jsonResponse(200, responseOfB(request.body));
        co_await writer.write(std::move(response));
        ++answers;
    }
};

} // namespace

TEST_CASE("Heartbeats as JSON-RPC")
{
    const failure_evidence seen{{{"c"}, "2"}, {"a"}, failure_kind::Refused, milliseconds(40)};
    SUBCASE("the answer carries what the handler gives")
    {
        const auto answer = decodeResponse(responseOfB(encodeRequest({runA, {seen}}, 7)));
        REQUIRE(answer);
        CHECK(answer->from == runB);
        REQUIRE(answer->evidence.size() == 1);
        CHECK(answer->evidence[0].run == seen.run);
        CHECK(answer->evidence[0].sign == failure_kind::Refused);
        CHECK(answer->evidence[0].age == seen.age);
    }
    SUBCASE("other texts get an error and do no harm")
    {
        for (const char *text : {"", "{", "[]", R"({"jsonrpc":"2.0","id":1,"method":"none"})",
                                 R"({"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{}})",
                                 R"({"jsonrpc":"2.0","id":1,"method":"heartbeat","params":)"
                                 R"({"daemon":"a","incarnation":"1","evidence":[3]}})"})
            CHECK_FALSE(decodeResponse(responseOfB(text)));
    }
}

TEST_CASE("A connection that went silent is replaced")
{
    // A healthy daemon would be suspected and callers redirected away from it. The established
    // connection to it is lost without a FIN or RST, as when a middlebox drops its connection
    // state, while new connections work.
    two_daemons cell;
    cell.watch();
    cell.runUntil([&] { return cell.answers >= 2; });
    CHECK(cell.server.openConnections() == 1);
    const int before = cell.answers;
    const time_point stalledAt = runtime_clock::now();
    cell.stallNext = true;
    cell.runUntil([&] { return !cell.stallNext && cell.answers > before; });
    CHECK(runtime_clock::now() - stalledAt < seconds(3));
    CHECK(cell.a.suspects().empty());
}

TEST_CASE("A port where nobody listens is evidence of one observer")
{
    two_daemons cell;
    cell.server.stopAccepting();
    cell.watch();
    cell.runUntil([&] { return !cell.a.suspects().empty(); });
    CHECK(cell.a.suspects() == std::set<daemon_id>{runB.daemon});
    CHECK(cell.a.refusing().empty());
}
