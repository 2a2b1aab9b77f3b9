#include "lost_request_fixture.h"

namespace azurehill::test {

namespace {

/// All disruptions: of none can the daemon tell at once whether the replica ended.
constexpr std::array<disruption, 10> disruptions = {disruption::ClosesBeforeHead,
                                                    disruption::ClosesInsideBody,
                                                    disruption::FallsSilentBeforeHead,
                                                    disruption::FallsSilentInsideBody,
                                                    disruption::SendsGarbage,
                                                    disruption::SendsForeignAnswer,
                                                    disruption::SendsBrokenChunk,
                                                    disruption::SendsInterimHeads,
                                                    disruption::WorksOn,
                                                    disruption::OutlivesEntry};

} // namespace

TEST_SUITE("requests whose sends are lost")
{
    // Guards against a request that ends one replica after the other in a way that the daemon
    // does not take for an end, or learns of only after the next attempt.
    TEST_CASE("no replica gets a request under which three have ended, however they ended")
    {
        constexpr duration time = seconds(16);
        for (const disruption how : disruptions) {
            for (const std::string_view prefix : prefixes) {
                const std::string where = fmt::format("{} {}", prefix, toName(how));
                CAPTURE(where);
                lost_request_fixture fixture(how, true);
                fixture.askFor(time, fmt::format("{}marked", prefix));
                CHECK(fixture.countEnded() <= maxEnded);
                CHECK(fixture.sentAfterwards == 0);
                CHECK(fixture.refusedOthers == 0);
            }
        }
    }

    // Guards against a sign of life that clears a replica whose process is about to end.
    TEST_CASE("no replica gets a request under which three have ended after they answered others")
    {
        for (const std::string_view prefix : prefixes) {
            CAPTURE(std::string(prefix));
            lost_request_fixture fixture(disruption::ClosesAndLingers, true);
            fixture.askFor(seconds(16), fmt::format("{}marked", prefix));
            CHECK(fixture.countEnded() >= maxEnded);
            CHECK(fixture.sentAfterwards == 0);
            CHECK(fixture.refusedOthers == 0);
        }
    }

    // Guards against a request that is refused although its replicas misbehave and live.
    TEST_CASE("a request whose sends are lost by replicas that live is sent again")
    {
        constexpr duration time = seconds(16);
        for (const disruption how : disruptions) {
            for (const std::string_view prefix : prefixes) {
                const std::string where = fmt::format("{} {}", prefix, toName(how));
                CAPTURE(where);
                lost_request_fixture fixture(how, false);
                fixture.askFor(time, fmt::format("{}marked", prefix));
                CHECK(fixture.countEnded() == 0);
                CHECK(fixture.sends > maxEnded);
                CHECK(fixture.last.find("replicas ended") == std::string::npos);
                CHECK(fixture.refusedOthers == 0);
            }
        }
    }

    // Guards against a request that is refused although its replicas live and answer when asked.
    TEST_CASE("replicas that lost a request and live are asked, and it is sent at once")
    {
        for (const disruption how : {disruption::ClosesBeforeHead, disruption::ClosesInsideBody}) {
            CAPTURE(std::string(toName(how)));
            lost_request_fixture fixture(how, false);
            constexpr int attempts = 2 * hosts;
            for (int i = 0; i < attempts; ++i)
                CHECK(fixture.ask(std::size_t(i) % hosts, "/unsafe/marked").find("503")
                      == std::string::npos);
            CHECK(fixture.sends == attempts);
        }
    }
}

} // namespace azurehill::test
