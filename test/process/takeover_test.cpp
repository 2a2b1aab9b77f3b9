#include "process/cluster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace azurehill;
using namespace azurehill::process_test;

namespace {

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

TEST_CASE("Owner killed in the middle of a stream")
{
    // A teacher sees the first words of a page, then nothing: the host of the program's daemon has
    // died. Her application asks again with the same key and must get a whole answer; the words
    // of the dead attempt must not be in the program's history, and the turn must count once.
    cluster c({.tokenUs = 20'000});
    const program_id program = c.createProgram("daemon-0");
    const std::string owner = c.ownerOf(program);
    REQUIRE(owner == "daemon-0");
    const call_line first = modelCall(program, 1);
    REQUIRE(c.askUntilAnswered({owner}, first).content());

    const call_line call = modelCall(program, 2);
    bool killed = false;
    const reply cut = ask(c.address(owner), call.request, seconds(20), [&](const std::string &) {
        if (!killed)
            c.process(owner).signal(SIGKILL);
        killed = true;
    });
    REQUIRE(killed);
    CHECK_FALSE(cut.content());

    const reply again = c.askUntilAnswered(c.others(owner), call);
    const auto content = again.content();
    INFO(again.body);
    REQUIRE(content);
    CHECK(contains(c.completionsOf(program, 2), *content));

    SUBCASE("the next turn builds on one answer, not on two")
    {
        const reply next = c.askUntilAnswered(c.others(owner), modelCall(program, 3));
        REQUIRE(next.content());
        CHECK(contains(c.completionsOf(program, 3), *next.content()));
        CHECK(c.inspect(c.others(owner).front(), program).at("last_turn").as_int64() == 3);
    }
}

TEST_CASE("Owner killed after the intent of a tool call was committed")
{
    // A proof page is being added when the daemon dies. Nobody can know whether the page was
    // added. The application that asks again must hear "unknown"; a second page would be printed
    // if the successor sent the call again.
    cluster c({.toolMs = 1500});
    const program_id program = c.createProgram("daemon-0");
    const std::string owner = c.ownerOf(program);
    const call_line call = toolCall(program, 1);
    std::optional<reply> lost;
    std::thread asking([&] { lost = ask(c.address(owner), call.request); });
    c.waitFor("the intent is durable and sent",
              [&] { return getJson(c.address("tool"), "/records").at("started").as_int64() > 0; });
    c.process(owner).signal(SIGKILL);
    asking.join();
    CHECK(lost->error);

    const reply again = c.askUntilAnswered(c.others(owner), call);
    CHECK(again.outcomeText() == "unknown");
    c.waitFor("the tool is done", [&] { return c.runsOf(keyOf(call)) > 0; });
    CHECK(c.runsOf(keyOf(call)) == 1);
}
