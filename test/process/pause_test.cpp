#include "process/cluster.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

using namespace azurehill;
using namespace azurehill::process_test;

TEST_CASE("Owner paused beyond its lease in a tool call")
{
    // A runner's receipt is being issued when the daemon's host stands still. Another daemon takes
    // the program over and answers "unknown". Then the paused one goes on with the tool's answer
    // in hand: its late commit must fail, and its caller must not hear a success that the program
    // doesn't know of.
    cluster c({.toolMs = 500});
    const program_id program = c.createProgram("daemon-0");
    const call_line call = toolCall(program, 1);
    auto asked = std::async(std::launch::async, [&, peer = c.address("daemon-0")] {
        return ask(peer, call.request, seconds(30));
    });
    c.waitFor("the tool is called", [&] { return c.startedAt("tool") > 0; });
    c.process("daemon-0").signal(SIGSTOP);
    c.waitServing({"daemon-1", "daemon-2"});

    const reply again = c.askUntilAnswered({"daemon-1", "daemon-2"}, call);
    CHECK(again.outcomeText() == "unknown");
    c.process("daemon-0").signal(SIGCONT);
    const reply late = asked.get();
    INFO(late.status, " ", late.body);
    CHECK(late.status != 200);
    CHECK(late.outcomeText() == "unknown");
    CHECK(c.runsOf(keyOf(call)) == 1);

    SUBCASE("the daemon serves again, and the outcome stays")
    {
        c.waitServing(c.daemons());
        CHECK(c.askUntilAnswered(c.daemons(), call).outcomeText() == "unknown");
        CHECK(c.runsOf(keyOf(call)) == 1);
    }
}

TEST_CASE("Owner paused beyond its lease between turns")
{
    // While the daemon stands still, a successor runs the lesson's second turn. The daemon goes on
    // and a caller with an old look-up sends it the third: it must not answer from the state that
    // it had before, which lacks the second turn.
    cluster c;
    const program_id program = c.createProgram("daemon-0");
    REQUIRE(c.askUntilAnswered({"daemon-0"}, modelCall(program, 1)).content());
    c.process("daemon-0").signal(SIGSTOP);
    c.waitServing({"daemon-1", "daemon-2"});
    const auto second = c.askUntilAnswered(c.others("daemon-0"), modelCall(program, 2)).content();
    REQUIRE(second);

    c.process("daemon-0").signal(SIGCONT);
    const reply third = c.askUntilAnswered({"daemon-0"}, modelCall(program, 3));
    INFO(third.body);
    REQUIRE(third.content());
    CHECK(c.wasSent(program, 3, *third.content()));
    CHECK(c.askUntilAnswered({"daemon-0"}, modelCall(program, 2)).content() == second);
    CHECK(c.completionsOf(program, 2).size() == 1);
    CHECK(c.inspect("daemon-0", program).at("last_turn").as_int64() == 3);
}
