#include "replicas/replicas.h"

#include <doctest/doctest.h>

namespace azurehill {

namespace {

replica_entry entry(const std::string &id, const std::string &dataCentre = "here", int slots = 8)
{
    return {{{id}, 1}, "model", {"10.0.0.1", 80}, {dataCentre}, slots, false, 1};
}

placement_request prompt(std::vector<prompt_part> parts)
{
    placement_request r;
    r.service = "model";
    for (const prompt_part &p : parts)
        r.promptTokens += p.tokens;
    r.parts = std::move(parts);
    return r;
}

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

std::string chosenReplica(replica_load_balancer &balancer, const placement_request &request,
                          time_point now)
{
    const auto p = balancer.choose(request, now);
    return p ? p->replica.incarnation.id.value : "none";
}

} // namespace

TEST_SUITE("replica board")
{
    TEST_CASE("a prompt goes where its beginning was read")
    {
        replica_load_balancer balancer({"here"}, 1);
        balancer.setReplicas({entry("a"), entry("b"), entry("c")}, at(0));
        const placement_request request = prompt({{"system", 2000}, {"own", 500}});
        const auto first = balancer.choose(request, at(0));
        REQUIRE(first);
        balancer.onSent(*first, request, at(0));
        balancer.onDone(*first, send_outcome::Answered, at(100));
        for (int i = 0; i < 10; ++i)
            CHECK(chosenReplica(balancer, request, at(200)) == first->replica.incarnation.id.value);

        SUBCASE("but not when that replica has much more to do")
        {
            for (int i = 0; i < 6; ++i)
                balancer.onSent(*first, request, at(200));
            CHECK(chosenReplica(balancer, request, at(200)) != first->replica.incarnation.id.value);
        }
        SUBCASE("and no longer once it has read so much else that the beginning is gone")
        {
            balancer.setCacheTokens("model", 10'000);
            for (int i = 0; i < 10; ++i) {
                const placement_request other = prompt({{"other" + std::to_string(i), 1000}});
                balancer.onSent(*first, other, at(300));
                balancer.onDone(*first, send_outcome::Answered, at(300));
            }
            const auto p = balancer.choose(request, at(400));
            REQUIRE(p);
            CHECK(p->cachedTokens == 0);
        }
    }

    // Guards against a replica that ends with many requests in flight, though an idle one would do.
    TEST_CASE("a request that may end its replica goes where few others would be lost")
    {
        replica_load_balancer balancer({"here"}, 1);
        balancer.setReplicas({entry("a"), entry("b")}, at(0));
        placement_request request = prompt({{"system", 2000}});
        const auto first = balancer.choose(request, at(0));
        REQUIRE(first);
        // Its prompt is cached there, at which another request is in flight.
        balancer.onSent(*first, request, at(0));
        balancer.onDone(*first, send_outcome::Answered, at(100));
        balancer.onSent(*first, request, at(200));
        CHECK(chosenReplica(balancer, request, at(300)) == first->replica.incarnation.id.value);
        request.mayEndReplica = true;
        CHECK(chosenReplica(balancer, request, at(300)) != first->replica.incarnation.id.value);
    }

    TEST_CASE("a replica that leaves gets nothing more")
    {
        replica_load_balancer balancer({"here"}, 1);
        replica_entry leaving = entry("a");
        balancer.setReplicas({leaving, entry("b")}, at(0));

        SUBCASE("when its entry says so")
        {
            leaving.draining = true;
            balancer.setReplicas({leaving, entry("b")}, at(10));
            CHECK(chosenReplica(balancer, prompt({}), at(20)) == "b");
            // An older entry may be read after a newer one; a draining replica stays draining.
            balancer.setReplicas({entry("a"), entry("b")}, at(30));
            CHECK(chosenReplica(balancer, prompt({}), at(40)) == "b");
        }
        SUBCASE("when another replica has its address")
        {
            balancer.setLeaving({{"a"}, 1});
            CHECK(chosenReplica(balancer, prompt({}), at(20)) == "b");
        }
        SUBCASE("when the entries are too old to tell")
        {
            balancer.setOutdated(true);
            CHECK(chosenReplica(balancer, prompt({}), at(20)) == "none");
            CHECK_FALSE(balancer.placementAt({{"b"}, 1}, 0));
            balancer.setOutdated(false);
            CHECK(chosenReplica(balancer, prompt({}), at(20)) != "none");
        }
        SUBCASE("when its entry is gone")
        {
            balancer.setReplicas({entry("b")}, at(10));
            CHECK(chosenReplica(balancer, prompt({}), at(20)) == "b");
        }
    }

    TEST_CASE("a replica that can't be reached is left out and tried again later")
    {
        replica_load_balancer balancer({"here"}, 1);
        balancer.setReplicas({entry("a"), entry("b", "far")}, at(0));
        REQUIRE(chosenReplica(balancer, prompt({}), at(0)) == "a");
        const auto p = balancer.choose(prompt({}), at(0));
        balancer.onSent(*p, prompt({}), at(0));
        balancer.onDone(*p, send_outcome::Unreachable, at(300));
        CHECK(chosenReplica(balancer, prompt({}), at(400)) == "b");

        SUBCASE("after a while one request tries it, and no other meanwhile")
        {
            const auto trial = balancer.choose(prompt({}), at(900));
            REQUIRE(trial);
            CHECK(trial->replica.incarnation.id.value == "a");
            balancer.onSent(*trial, prompt({}), at(900));
            CHECK(chosenReplica(balancer, prompt({}), at(950)) == "b");
            balancer.onDone(*trial, send_outcome::Answered, at(1000));
            CHECK(chosenReplica(balancer, prompt({}), at(1010)) == "a");
        }
        SUBCASE("it is better than none")
        {
            placement_request request = prompt({});
            request.tried.insert({{"b"}, 1});
            CHECK(chosenReplica(balancer, request, at(400)) == "a");
        }
    }

    TEST_CASE("a few broken answers are no reason to leave a replica out, several in a row are")
    {
        replica_load_balancer balancer({"here"}, 1);
        balancer.setReplicas({entry("a"), entry("b", "far")}, at(0));
        const auto p = balancer.choose(prompt({}), at(0));
        for (int i = 0; i < 3; ++i) {
            balancer.onSent(*p, prompt({}), at(0));
            balancer.onDone(*p, send_outcome::Broken, at(0));
        }
        CHECK(chosenReplica(balancer, prompt({}), at(0)) == "a");
        balancer.onSent(*p, prompt({}), at(0));
        balancer.onDone(*p, send_outcome::Broken, at(0));
        CHECK(chosenReplica(balancer, prompt({}), at(0)) == "b");
    }

    TEST_CASE("the time to read a prompt is learned, whatever the engine")
    {
        for (const double msPerToken : {0.01, 0.2}) {
            first_byte_time_estimator estimator;
            for (int i = 0; i < 400; ++i) {
                const double tokens = 200.0 * (i % 20);
                estimator.add(tokens, 50 + msPerToken * tokens);
            }
            CHECK(estimator.msPerToken() == doctest::Approx(msPerToken).epsilon(0.1));
            CHECK(estimator.cachedPromptMs() == doctest::Approx(50).epsilon(0.1));
        }
    }

    TEST_CASE("replicas of few and of many slots are filled alike")
    {
        for (const int slots : {2, 96}) {
            replica_load_balancer balancer({"here"}, 1);
            balancer.setReplicas({entry("a", "here", slots), entry("b", "here", slots)}, at(0));
            std::map<std::string, int> count;
            for (int i = 0; i < 2 * slots; ++i) {
                const auto p = balancer.choose(prompt({}), at(i));
                REQUIRE(p);
                balancer.onSent(*p, prompt({}), at(i));
                ++count[p->replica.incarnation.id.value];
            }
            CHECK(count["a"] >= slots / 2);
            CHECK(count["b"] >= slots / 2);
        }
    }
}

} // namespace azurehill
