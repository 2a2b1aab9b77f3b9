#include "process/cluster.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>

using namespace azurehill;
using namespace azurehill::process_test;

namespace {

/// \returns the configuration with another bound on turns, by which it can be told apart.
std::string configurationWith(int maxTurns)
{
    std::string text = testConfiguration();
    const std::string_view mark = R"("max_turns": 120)";
    return text.replace(text.find(mark), mark.size(), fmt::format(R"("max_turns": {})", maxTurns));
}

int put(const endpoint &daemon, const std::string &text, std::int64_t version)
{
    http_request request = operatorRequest("PUT", "/operator/config");
    request.headers.add("If-Match", std::to_string(version));
    request.body = text;
    return ask(daemon, std::move(request)).status;
}

bool isInForce(cluster &c, const std::string &daemon, int maxTurns)
{
    const std::string body
        = ask(c.address(daemon), operatorRequest("GET", "/operator/config")).body;
    return body.find(fmt::format(R"("max_turns":{})", maxTurns)) != std::string::npos;
}

} // namespace

TEST_CASE("Two operators change the configuration at once")
{
    // Two operators start from the same version and apply different bounds through different
    // daemons. One must win, the other must be told, and every daemon must follow the winner.
    cluster c;
    const std::int64_t version = c.configVersion();
    auto first = std::async(std::launch::async, [&, peer = c.address("daemon-0")] {
        return put(peer, configurationWith(101), version);
    });
    const int second = put(c.address("daemon-1"), configurationWith(102), version);
    const int firstStatus = first.get();
    CHECK(std::min(firstStatus, second) == 200);
    CHECK(std::max(firstStatus, second) == 409);
    const int winner = firstStatus == 200 ? 101 : 102;
    for (const std::string &daemon : c.daemons())
        c.waitFor(daemon + " follows the winner", [&] { return isInForce(c, daemon, winner); });
}

TEST_CASE("Accepted configuration in force everywhere within 5 s")
{
    // An operator narrows a bound and is told that it is accepted. Five seconds later no daemon
    // may follow the old one.
    cluster c;
    REQUIRE(put(c.address("daemon-0"), configurationWith(77), c.configVersion()) == 200);
    const auto accepted = std::chrono::steady_clock::now();
    for (const std::string &daemon : c.daemons()) {
        c.waitFor(
            daemon + " follows", [&] { return isInForce(c, daemon, 77); }, std::chrono::seconds(5));
    }
    const auto took = std::chrono::steady_clock::now() - accepted;
    MESSAGE("accepted to last use, ms: ",
            std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
}

TEST_CASE("Configuration accepted by a daemon that dies")
{
    // The daemon that took the change dies with its answer. The others must follow it: accepted
    // is kept by the platform, not by that daemon.
    cluster c;
    REQUIRE(put(c.address("daemon-0"), configurationWith(55), c.configVersion()) == 200);
    c.process("daemon-0").signal(SIGKILL);
    for (const std::string &daemon : c.others("daemon-0"))
        c.waitFor(daemon + " follows", [&] { return isInForce(c, daemon, 55); });
}

TEST_CASE("Configuration change while the store is down")
{
    // The platform refuses the write. The operator must not hear that it is accepted, and no
    // daemon may follow it, also not once the platform is back.
    cluster c;
    c.setFault("platform", R"({"mode":"down","path_prefix":"/table/transact"})");
    CHECK(put(c.address("daemon-0"), configurationWith(55), c.configVersion()) != 200);
    c.setFault("platform", R"({"mode":"none"})");
    REQUIRE(put(c.address("daemon-1"), configurationWith(56), c.configVersion()) == 200);
    for (const std::string &daemon : c.daemons())
        c.waitFor(daemon + " follows", [&] { return isInForce(c, daemon, 56); });
}

TEST_CASE("Configuration change whose answer is lost")
{
    // The table takes the change, but its answer is lost on the way to the daemon. The change is in
    // force, so the operator must not be told that it did not run.
    cluster c;
    c.setFault("platform", R"({"mode":"lose_answers","path_prefix":"/table/transact"})");
    http_request request = operatorRequest("PUT", "/operator/config");
    request.headers.add("If-Match", std::to_string(c.configVersion()));
    request.body = configurationWith(55);
    const reply told = ask(c.address("daemon-0"), request);
    c.setFault("platform", R"({"mode":"none"})");
    for (const std::string &daemon : c.daemons())
        c.waitFor(daemon + " follows", [&] { return isInForce(c, daemon, 55); });
    INFO(told.status, " ", told.body);
    CHECK(told.outcomeText() != "did_not_run");
}
