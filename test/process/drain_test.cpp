#include "process/cluster.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace azurehill;
using namespace azurehill::process_test;

TEST_CASE("Daemon drained during a long stream")
{
    // An operator replaces a host in the middle of a read-aloud lesson. The page that is being
    // read must come to its end, the daemon must exit with 0, and the lesson goes on elsewhere.
    cluster c({.tokenUs = 40'000});
    const program_id program = c.createProgram("daemon-0");
    bool asked = false;
    const call_line call = modelCall(program, 1, 48);
    const reply page
        = ask(c.address("daemon-0"), call.request, seconds(30), [&](const std::string &) {
              if (!asked)
                  c.process("daemon-0").signal(SIGTERM);
              asked = true;
          });
    REQUIRE(asked);
    REQUIRE_MESSAGE(page.content(), page.body, c.logs());
    CHECK(c.wasSent(program, 1, *page.content()));
    c.waitFor("the daemon ends", [&] { return c.process("daemon-0").exitStatus().has_value(); });
    CHECK(c.process("daemon-0").exitStatus() == 0);

    const reply next = c.askUntilAnswered(c.others("daemon-0"), modelCall(program, 2, 4));
    CHECK_MESSAGE(next.content(), next.body);
    CHECK(c.inspect("daemon-1", program).at("last_turn").as_int64() == 2);
}

TEST_CASE("Request to the wrong daemon")
{
    // A caller's look-up is old: it asks daemons that don't own the program. Each gives the whole
    // answer, and a repeated key gets the stored one.
    cluster c;
    const program_id program = c.createProgram("daemon-0");
    std::int64_t turn = 0;
    for (const std::string &daemon : c.others("daemon-0")) {
        const call_line call = modelCall(program, ++turn);
        const reply page = ask(c.address(daemon), call.request);
        REQUIRE_MESSAGE(page.content(), page.body);
        CHECK(c.wasSent(program, turn, *page.content()));
        CHECK(ask(c.address("daemon-0"), call.request).content() == page.content());
        CHECK(c.completionsOf(program, turn).size() == 1);
    }
    const call_line tool = toolCall(program, ++turn);
    CHECK(ask(c.address("daemon-1"), tool.request).status == 200);
    CHECK(ask(c.address("daemon-2"), tool.request).status == 200);
    CHECK(c.runsOf(keyOf(tool)) == 1);
}

TEST_CASE("Daemon stopped that others pass requests to")
{
    // The owner's host is gone without a word. A request that another daemon passed on must not
    // hang: it ends with a truthful outcome, and the caller gets its answer from the successor.
    cluster c;
    const program_id program = c.createProgram("daemon-0");
    c.process("daemon-0").signal(SIGSTOP);
    const call_line call = toolCall(program, 1);
    const reply served = c.askUntilAnswered(c.others("daemon-0"), call);
    CHECK_MESSAGE(served.status == 200, served.body);
    CHECK(c.runsOf(keyOf(call)) == 1);
    c.process("daemon-0").signal(SIGKILL);
}

TEST_CASE("Draining daemon killed")
{
    // The host is switched off before its daemon has drained. The page in progress is cut; asked
    // again with the same key, it comes whole from another daemon.
    cluster c({.tokenUs = 40'000});
    const program_id program = c.createProgram("daemon-0");
    const call_line call = modelCall(program, 1);
    bool asked = false;
    const reply cut
        = ask(c.address("daemon-0"), call.request, seconds(30), [&](const std::string &) {
              if (asked)
                  return;
              asked = true;
              c.process("daemon-0").signal(SIGTERM);
              c.waitFor("the drain has begun", [&] {
                  return c.process("daemon-0").log().find("draining") != std::string::npos;
              });
              c.process("daemon-0").signal(SIGKILL);
          });
    CHECK_FALSE(cut.content());
    const reply again = c.askUntilAnswered(c.others("daemon-0"), call);
    REQUIRE_MESSAGE(again.content(), again.body);
    CHECK(c.wasSent(program, 1, *again.content()));
}
