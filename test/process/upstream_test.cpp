#include "process/cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <future>

using namespace azurehill;
using namespace azurehill::process_test;

TEST_CASE("Tool answer lost after its effect")
{
    // A proof page was added, but the tool's answer got lost on its way. The caller must hear
    // "unknown", also when it asks again, and the tool must see the request once.
    cluster c;
    const program_id program = c.createProgram("daemon-0");
    c.setFault("tool", R"({"mode":"lose_answers","count":1,"path_prefix":"/proof"})");
    const call_line call = toolCall(program, 1);
    CHECK(ask(c.address("daemon-0"), call.request).outcomeText() == "unknown");
    CHECK(ask(c.address("daemon-0"), call.request).outcomeText() == "unknown");
    CHECK(ask(c.address("daemon-1"), call.request).outcomeText() == "unknown");
    CHECK(c.runsOf(keyOf(call)) == 1);
    CHECK(c.inspect("daemon-0", program).at("last_turn").as_int64() == 1);
}

TEST_CASE("Engine killed in the middle of a stream")
{
    // The replica that reads a page dies. What came so far is no whole answer; asked again with
    // the same key, the page comes whole from another replica, and both attempts are charged.
    cluster c({.tokenUs = 20'000});
    const program_id program = c.createProgram("daemon-0");
    bool killed = false;
    const call_line call = modelCall(program, 1);
    const reply cut
        = ask(c.address("daemon-0"), call.request, seconds(20), [&](const std::string &) {
              if (!killed)
                  c.process(c.startedAt("engine-0") > 0 ? "engine-0" : "engine-1").signal(SIGKILL);
              killed = true;
          });
    REQUIRE(killed);
    CHECK_FALSE(cut.content());
    const reply again = c.askUntilAnswered({"daemon-0"}, call);
    REQUIRE_MESSAGE(again.content(), again.body);
    CHECK(c.wasSent(program, 1, *again.content()));
    const auto state = c.inspect("daemon-0", program);
    CHECK(state.at("last_turn").as_int64() == 1);
    CHECK(state.at("reserved_tokens").as_int64() == 0);
    CHECK(state.at("spent_tokens").as_int64() > 0);
}

TEST_CASE("Engine leaving while the host list is late")
{
    // A replica is about to be replaced: it refuses new work, and the host list says so a second
    // later. Within 3 s of the first sign nothing new may go to it, and no call may be lost.
    cluster c({.hostLagMs = 1000});
    const program_id program = c.createProgram("daemon-0");
    c.setFault("engine-0", R"({"mode":"leave"})");
    const endpoint engine = c.address("engine-0");
    REQUIRE(postJson(c.address("platform"), "/hosts",
                     fmt::format(R"({{"name":"engine-0","service":"story-model","host":"{}",)"
                                 R"("port":{},"data_centre":"riohacha","leaving":true}})",
                                 engine.host, engine.port)));
    const auto signedAt = std::chrono::steady_clock::now();
    std::int64_t turn = 0;
    const auto runTurn = [&] {
        const call_line call = modelCall(program, ++turn, 4);
        REQUIRE(c.askUntilAnswered({"daemon-0"}, call).content());
        CHECK(c.completionsOf(program, turn).size() == 1);
    };
    while (std::chrono::steady_clock::now() - signedAt < std::chrono::seconds(3))
        runTurn();
    // Whatever would come now would be new work: the replica must not even see it.
    c.setFault("engine-0", R"({"mode":"none"})");
    const std::int64_t before = c.startedAt("engine-0");
    for (int i = 0; i < 10; ++i)
        runTurn();
    CHECK(c.startedAt("engine-0") == before);
}

TEST_CASE("Repeated request while the call runs")
{
    // A flaky link makes a teacher's application ask again under the same key before the first
    // answer has come. Both requests get the same whole answer of one call.
    cluster c({.tokenUs = 20'000, .toolMs = 500});
    const program_id program = c.createProgram("daemon-0");
    const auto askTwice = [&](const call_line &call, const std::function<bool()> &runs) {
        auto first = std::async(std::launch::async, [&, peer = c.address("daemon-0")] {
            return ask(peer, call.request);
        });
        c.waitFor("the call runs", runs);
        const reply second = ask(c.address("daemon-1"), call.request);
        return std::make_pair(first.get(), second);
    };
    const call_line page = modelCall(program, 1);
    const auto [one, two]
        = askTwice(page, [&] { return c.startedAt("engine-0") + c.startedAt("engine-1") > 0; });
    REQUIRE_MESSAGE(one.content(), one.body);
    CHECK(one.content() == two.content());
    CHECK(c.completionsOf(program, 1).size() == 1);

    const call_line tool = toolCall(program, 2);
    const auto [receipt, same] = askTwice(tool, [&] { return c.startedAt("tool") > 0; });
    CHECK(receipt.status == 200);
    CHECK(receipt.body == same.body);
    CHECK(c.runsOf(keyOf(tool)) == 1);
}

TEST_CASE("Engine connection gone silent in the middle of a stream")
{
    // Something between daemon and replica forgets the connection of a stream: no byte comes, and
    // no end. The silence must be noticed, and asked again the page must come whole.
    cluster c({.tokenUs = 20'000});
    const program_id program = c.createProgram("daemon-0");
    const call_line call = modelCall(program, 1);
    bool silenced = false;
    const reply cut
        = ask(c.address("daemon-0"), call.request, seconds(20), [&](const std::string &) {
              if (silenced)
                  return;
              silenced = true;
              for (const char *engine : {"engine-0", "engine-1"})
                  c.setFault(engine, R"({"mode":"gone_silent"})");
          });
    REQUIRE(silenced);
    CHECK_FALSE(cut.content());
    CHECK(cut.outcomeText() == "unknown");
    const reply again = c.askUntilAnswered({"daemon-0"}, call);
    REQUIRE_MESSAGE(again.content(), again.body);
    CHECK(c.wasSent(program, 1, *again.content()));
}

// Guards against a call that ends one engine after the other: repeated under its key, it was sent
// again whatever had become of the engines before.
TEST_CASE("A call that ends its engines is not sent once three have ended")
{
    constexpr int engines = 5;
    cluster c({.engines = engines});
    const program_id program = c.createProgram("daemon-0");
    const auto name = [](int i) { return fmt::format("engine-{}", i); };
    for (int i = 0; i < engines; ++i)
        c.setFault(name(i), R"({"mode":"end_process","path_prefix":"/v1"})");
    const auto ended = [&] {
        int count = 0;
        for (int i = 0; i < engines; ++i) {
            if (!c.process(name(i)).exitStatus())
                continue;
            ++count;
            postJson(c.address("platform"), "/hosts",
                     fmt::format(R"({{"name":"{}","gone":true}})", name(i)));
        }
        return count;
    };
    const call_line call = modelCall(program, 1);
    const auto isQuarantined = [&] {
        const reply answer = ask(c.address("daemon-0"), call.request);
        ended();
        return answer.status == 422;
    };
    CHECK(holdsWithin(std::chrono::seconds(12), isQuarantined));
    CHECK(ended() == 3);
    CHECK(ask(c.address("daemon-0"), call.request).outcomeText() == "did_not_run");
}
