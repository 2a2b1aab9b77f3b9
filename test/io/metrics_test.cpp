#include "io/door_world.h"

using namespace azurehill;
using namespace azurehill::test;

TEST_CASE("The time between tokens is counted in the runner's own buckets")
{
    token_gaps gaps;
    gaps.add(milliseconds(40), 4);
    gaps.add(milliseconds(33), 1);
    gaps.add(seconds(9), 1);
    gaps.add(seconds(9), 0);
    CHECK(gaps.counts()[2] == 4);
    CHECK(gaps.counts()[4] == 1);
    CHECK(gaps.counts().back() == 1);
    CHECK(gaps.sum() == doctest::Approx(9.073));
}

TEST_CASE("Wasted cache is what an engine computed again")
{
    metrics m;
    call_measures c;
    c.promptTokens = 500;
    c.heldTokens = 400;
    const auto sumAfter = [&] {
        m.onCallDone({{"t"}, "lesson"}, c);
        const std::string text = m.toText({});
        const std::string name
            = "azurehill_wasted_prompt_tokens_sum{class=\"lesson\",tenant=\"t\"} ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size()));
    };
    SUBCASE("nothing is known of an engine that does not report its cache")
    {
        CHECK(sumAfter() == 0);
    }
    SUBCASE("a full hit wastes nothing")
    {
        c.cachedTokens = 400;
        CHECK(sumAfter() == 0);
    }
    SUBCASE("a miss wastes all that was held")
    {
        c.cachedTokens = 0;
        CHECK(sumAfter() == 400);
    }
}

// A deployment may have a tenant for every school, or tenant names that change daily. The daemon's
// memory must not grow with the number of names.
TEST_CASE("The number of series is bounded")
{
    metrics m;
    for (std::size_t i = 0; i < metrics::maxSeries + 50; ++i)
        m.onProgramEnded({{fmt::format("tenant-{}", i)}, "lesson"}, seconds(1));
    const std::string text = m.toText({});
    CHECK(text.find("tenant=\"tenant-511\"") != std::string::npos);
    CHECK(text.find("tenant=\"tenant-512\"") == std::string::npos);
    CHECK(text.find("azurehill_program_latency_seconds_count{class=\"other\",tenant=\"other\"} 50")
          != std::string::npos);
}

TEST_CASE("Operators read the measures of what ran")
{
    scripted_engine engine;
    door_world world;
    world.addUpstream("story-1", "story-model", engine.handler());
    world.start();
    const std::string program = world.createProgram();
    CHECK(world.exchange(world.modelCall(program, 1, "k")).status == 200);
    CHECK(world.exchange(world.modelCall(program, 3, "k3")).status == 409);
    CHECK(world.exchange(door_world::request("DELETE", "/v1/programs/" + program)).status == 200);
    CHECK(world.exchange(door_world::request("GET", "/metrics")).status == 401);

    http_request read;
    read.target = "/metrics";
    read.headers.add("Authorization", "Bearer operator");
    const std::string text = world.exchange(read).body;
    for (const char *line :
         {"azurehill_program_latency_seconds_count{class=\"lesson\",tenant=\"t\"} 1",
          "azurehill_queueing_seconds_count{class=\"lesson\",tenant=\"t\"} 1",
          "azurehill_first_token_seconds_count{class=\"lesson\",tenant=\"t\"} 1",
          "azurehill_commit_seconds_count{class=\"lesson\",tenant=\"t\"} 1",
          "azurehill_prompt_tokens_total{class=\"lesson\",tenant=\"t\"} 7",
          "azurehill_refusals_total{reason=\"turn-out-of-order\",tenant=\"t\"} 1",
          "azurehill_programs 1", "azurehill_open_streams 0", "azurehill_members 1"}) {
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
    }
}
