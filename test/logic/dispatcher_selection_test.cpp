#include "dispatch/dispatcher_selection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

namespace azurehill {

namespace {

/// Sizes of the deployment tapkendra-ktm-grown: 16 hosts of 0.5 and 46 of 0.12 cores.
std::vector<dispatcher_candidate> candidates()
{
    std::vector<dispatcher_candidate> result;
    result.reserve(62);
    for (int i = 0; i < 62; ++i)
        result.push_back({{"d" + std::to_string(i)}, i < 16 ? 0.5 : 0.12});
    return result;
}

} // namespace

TEST_SUITE("dispatcher selection")
{
    // Guards against two dispatchers of one group, which grant its slots twice.
    TEST_CASE("all daemons choose the same dispatcher, whatever order they know the others in")
    {
        std::vector<dispatcher_candidate> known = candidates();
        std::minstd_rand random{1};
        std::set<daemon_id> chosen;
        for (std::uint32_t group = 0; group < 64; ++group) {
            const daemon_id dispatcher = dispatcherOf("model", group, known);
            chosen.insert(dispatcher);
            for (int i = 0; i < 5; ++i) {
                std::shuffle(known.begin(), known.end(), random);
                CHECK(dispatcherOf("model", group, known) == dispatcher);
            }
            CHECK(std::stoi(dispatcher.value.substr(1)) < 16);
        }
        CHECK(chosen.size() > 12);
        CHECK(dispatcherOf("model", 0, {}).empty());
    }

    // Guards against groups that lose their dispatcher's state since another daemon has left.
    TEST_CASE("only the groups of a daemon that leaves get another dispatcher")
    {
        const std::vector<dispatcher_candidate> all = candidates();
        for (const dispatcher_candidate &leaving : all) {
            std::vector<dispatcher_candidate> rest = all;
            std::erase_if(rest, [&](const auto &c) { return c.name == leaving.name; });
            for (std::uint32_t group = 0; group < 64; ++group) {
                const daemon_id before = dispatcherOf("model", group, all);
                const daemon_id after = dispatcherOf("model", group, rest);
                CHECK((before == leaving.name ? after != before : after == before));
            }
        }
    }

    TEST_CASE("the number of groups changes at twice the size only")
    {
        CHECK(groupsOf(0) == 1);
        CHECK(groupsOf(44) == 1);
        CHECK(groupsOf(127) == 1);
        CHECK(groupsOf(128) == 2);
        CHECK(groupsOf(3000) == 32);
        CHECK(groupsOf(6200) == 64);
        for (std::size_t replicas = 64; replicas <= 6200; ++replicas) {
            const std::size_t perGroup = replicas / groupsOf(replicas);
            CHECK((perGroup >= 64 && perGroup <= 127));
            if (groupsOf(replicas) != groupsOf(replicas - 1))
                CHECK(replicas == 64 * groupsOf(replicas));
        }
    }

    TEST_CASE("programs and replicas spread evenly over the groups")
    {
        std::vector<int> programs(16);
        for (int i = 0; i < 16'000; ++i)
            ++programs[groupOf(program_id{"program-" + std::to_string(i)}, 16)];
        const auto [fewest, most] = std::minmax_element(programs.begin(), programs.end());
        CHECK(*fewest > 850);
        CHECK(*most < 1150);
        std::vector<int> replicas(16);
        for (int i = 0; i < 1600; ++i)
            ++replicas[groupOf(upstream_id{"replica-" + std::to_string(i)}, 16)];
        CHECK(*std::min_element(replicas.begin(), replicas.end()) > 64);
    }
}

} // namespace azurehill
