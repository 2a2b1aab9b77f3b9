#include "process/cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace azurehill;
using namespace azurehill::process_test;

namespace {

constexpr std::int64_t turns = 6;

/// \brief Runs turns of model and tool calls in alternation, \p before each a change of the world.
/// \returns the tokens that the program has spent.
std::int64_t runTurns(cluster &c, const std::function<void()> &before)
{
    const program_id program = c.createProgram("daemon-0");
    for (std::int64_t turn = 1; turn <= turns; turn += 2) {
        before();
        const reply page = c.askUntilAnswered(c.daemons(), modelCall(program, turn));
        REQUIRE_MESSAGE(page.content(), page.body);
        CHECK(c.wasSent(program, turn, *page.content()));
        before();
        const call_line tool = toolCall(program, turn + 1);
        const reply receipt = c.askUntilAnswered(c.daemons(), tool);
        CHECK_MESSAGE(receipt.status == 200, receipt.body);
        CHECK(c.runsOf(keyOf(tool)) == 1);
    }
    const auto state = c.inspect("daemon-0", program);
    REQUIRE(state.is_object());
    CHECK(state.at("last_turn").as_int64() == turns);
    CHECK(state.at("reserved_tokens").as_int64() == 0);
    return state.at("spent_tokens").as_int64();
}

/// \brief Makes the store unusable until no daemon serves, looks at a refusal, and goes on.
void outage(cluster &c, const std::string &fault)
{
    const program_id program = c.createProgram("daemon-0");
    REQUIRE(c.askUntilAnswered({"daemon-0"}, modelCall(program, 1)).content());
    c.setFault("platform", fault);
    c.waitFor("the lease has lapsed",
              [&] { return !getJson(c.address("daemon-0"), "/readyz").is_object(); });
    const call_line call = toolCall(program, 2);
    const reply refused = ask(c.address("daemon-0"), call.request, seconds(2));
    INFO(refused.body);
    CHECK_MESSAGE(refused.status == 503, c.logs());
    CHECK(refused.headers.has("Retry-After"));
    CHECK(refused.outcomeText() == "did_not_run");
    CHECK(c.runsOf(keyOf(call)) == 0);

    c.setFault("platform", R"({"mode":"none"})");
    const reply served = c.askUntilAnswered(c.daemons(), call);
    CHECK_MESSAGE(served.status == 200, served.body, "\n", c.logs());
    CHECK(c.runsOf(keyOf(call)) == 1);
    CHECK(c.askUntilAnswered(c.daemons(), modelCall(program, 3)).content());
}

} // namespace

TEST_CASE("Store down")
{
    // The platform refuses everything for longer than a lease. Calls are refused at once,
    // truthfully and with a time to come back; then all goes on where it stood.
    cluster c;
    outage(c, R"({"mode":"down"})");
}

TEST_CASE("Store silent")
{
    // As an outage, but requests to the platform hang instead of failing.
    cluster c;
    outage(c, R"({"mode":"silent"})");
}

TEST_CASE("Store slow during turns")
{
    // Each write of the table takes a fifth of a second. Turns take longer; nothing else changes.
    cluster c;
    const std::int64_t calm = runTurns(c, [] {});
    c.setFault("platform", R"({"mode":"slow","delay_ms":200,"path_prefix":"/table/transact"})");
    CHECK(runTurns(c, [] {}) == calm);
}

TEST_CASE("Store loses answers of writes that took effect")
{
    // The table writes a turn, but its answer never comes. Taken for a failure, the turn would be
    // run and charged twice; taken for a success, it could be lost.
    cluster c;
    const std::int64_t calm = runTurns(c, [] {});
    const auto loseThree = [&] {
        c.setFault("platform",
                   R"({"mode":"lose_answers","count":3,"path_prefix":"/table/transact"})");
    };
    CHECK(runTurns(c, loseThree) == calm);
}

TEST_CASE("Store connections gone silent")
{
    // Something between daemon and platform forgets the open connections; new ones work. Without
    // a bound on each exchange the daemons would wait for ever.
    cluster c;
    const program_id program = c.createProgram("daemon-0");
    c.setFault("platform", R"({"mode":"gone_silent"})");
    const call_line call = toolCall(program, 1);
    const reply served = c.askUntilAnswered(c.daemons(), call);
    CHECK_MESSAGE(served.status == 200, served.body);
    CHECK(c.runsOf(keyOf(call)) == 1);
}
