#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace azurehill {

namespace {

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

/// \brief One daemon before plain replicas of 6 slots that answer within 100 ms.
class plain_service
{
public:
    explicit plain_service(const std::vector<std::string> &dataCentres,
                           const mechanism_set &mechanisms = {}, std::uint64_t seed = 1)
        : balancer({"here"}, seed, mechanisms)
    {
        std::vector<replica_entry> listed;
        listed.reserve(dataCentres.size());
        for (const std::string &dataCentre : dataCentres) {
            const std::string id(1, char('a' + int(listed.size())));
            listed.push_back({{{id}, 1}, "plain", {id, 80}, {dataCentre}, 6, false, 1});
        }
        balancer.setReplicas(listed, at(0));
        for (int i = 0; i < 60; ++i) {
            for (const replica_entry &entry : listed)
                answer(entry, milliseconds(100));
        }
    }

    /// \brief \p replica answers a request after \p waited.
    void answer(const replica_entry &replica, duration waited)
    {
        const placement p{replica, 0, 0, 0, 0};
        balancer.onSent(p, request, at(0));
        balancer.onFirstByte(p, request, waited, at(0));
        balancer.onDone(p, send_outcome::Answered, at(0));
    }
    replica_entry entryOf(const std::string &id) const
    {
        for (const replica_entry &entry : balancer.entries("plain")) {
            if (entry.incarnation.id.value == id)
                return entry;
        }
        return {};
    }
    placement placementOf(const std::string &id) const { return {entryOf(id), 0, 0, 0, 0}; }
    std::optional<placement> choose(int ms = 0)
    {
        return balancer.choose(request, at(ms), [this](const endpoint &address) {
            return connected.contains(address.host);
        });
    }
    /// \returns how many of 200 requests each replica would get.
    std::map<std::string, int> choices(int ms = 0)
    {
        std::map<std::string, int> count;
        for (int i = 0; i < 200; ++i) {
            const auto chosen = choose(ms);
            REQUIRE(chosen);
            ++count[chosen->replica.incarnation.id.value];
        }
        return count;
    }

    replica_load_balancer balancer;
    placement_request request = [] {
        placement_request r;
        r.service = "plain";
        return r;
    }();
    /// Replicas that the daemon has an idle connection to.
    std::set<std::string> connected;
};

mechanism_set without(mechanism m)
{
    mechanism_set result;
    result.disable(m);
    return result;
}

} // namespace

TEST_SUITE("cost of connections")
{
    // Guards against a random factor of 10 ms that outweighs a connection of 2 ms.
    TEST_CASE("among equal replicas the one with a connection is chosen")
    {
        plain_service service({"here", "here", "here", "here"});
        service.connected = {"c"};
        CHECK(service.choices()["c"] == 200);

        SUBCASE("at random if there are several")
        {
            service.connected = {"b", "c"};
            std::map<std::string, int> count = service.choices();
            CHECK(count["b"] > 50);
            CHECK(count["c"] > 50);
            CHECK(count["b"] + count["c"] == 200);
        }
        SUBCASE("at random if there is none")
        {
            service.connected = {};
            CHECK(service.choices().size() == 4);
        }
        SUBCASE("also if all are in another data centre")
        {
            plain_service far({"far", "far", "far"});
            far.connected = {"b"};
            CHECK(far.choices()["b"] == 200);
        }
        SUBCASE("unless the mechanism is disabled")
        {
            plain_service plain({"here", "here", "here", "here"},
                                without(mechanism::ReusedConnections));
            plain.connected = {"c"};
            CHECK(plain.choices().size() == 4);
        }
    }

    TEST_CASE("the cost of a new connection is part of the cost")
    {
        plain_service service({"here"});
        plain_service sameDraws({"here"});
        sameDraws.connected = {"a"};
        CHECK(service.choose()->cost == doctest::Approx(sameDraws.choose()->cost + 1.5));
    }

    // Guards against few daemons that overload one replica to save a connection.
    TEST_CASE("the choice among unequal replicas is that without connections")
    {
        plain_service service({"here", "here"});
        service.connected = {"a"};

        SUBCASE("a replica with a request in progress loses to an idle one")
        {
            service.balancer.onSent(service.placementOf("a"), service.request, at(0));
            CHECK(service.choices()["b"] == 200);
        }
        SUBCASE("a slow replica loses to a faster one")
        {
            for (int i = 0; i < 20; ++i)
                service.answer(service.entryOf("a"), milliseconds(160));
            CHECK(service.choices()["b"] == 200);
        }
        SUBCASE("a replica in another data centre gets no more than without connections")
        {
            plain_service farAndNear({"far", "here"});
            const int before = farAndNear.choices()["a"];
            farAndNear.connected = {"a"};
            CHECK(farAndNear.choices()["a"] <= before + 5);
        }
        SUBCASE("an ejected replica loses to any other")
        {
            const placement p = service.placementOf("a");
            service.balancer.onSent(p, service.request, at(0));
            service.balancer.onDone(p, send_outcome::Unreachable, at(0));
            CHECK(service.choices(1)["b"] == 200);
        }
    }

    TEST_CASE("a daemon alone before unequal replicas chooses as without connections")
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            plain_service now({"here", "here", "far", "here"}, {}, seed);
            plain_service before({"here", "here", "far", "here"},
                                 without(mechanism::ReusedConnections), seed);
            now.connected = before.connected = {"a", "c"};
            for (plain_service *const service : {&now, &before}) {
                service->balancer.onSent(service->placementOf("a"), service->request, at(0));
                for (int i = 0; i < 20; ++i)
                    service->answer(service->entryOf("d"), milliseconds(200));
            }
            // The one near replica that is idle and not slow; the far one is 6 ms more expensive.
            const auto chosen = now.choices();
            const auto chosenBefore = before.choices();
            CHECK(chosen == chosenBefore);
        }
    }
}

TEST_SUITE("back-off from full replicas")
{
    // Guards against a replica that refuses a request and is chosen again for the next one.
    TEST_CASE("a plain replica that refused a request is avoided for a short time")
    {
        plain_service service({"here", "here"});
        service.connected = {"a"};
        const placement p = service.placementOf("a");
        const auto refuse = [&](int ms) {
            service.balancer.onSent(p, service.request, at(ms));
            service.balancer.onShed(p, service.request, at(ms));
            service.balancer.onDone(p, send_outcome::NotRun, at(ms));
        };
        refuse(0);
        CHECK(service.choices(50)["b"] == 200);
        CHECK(service.choices(150)["a"] == 200);

        SUBCASE("longer after several refusals in a row")
        {
            refuse(150);
            CHECK(service.choices(300)["b"] == 200);
            CHECK(service.choices(400)["a"] == 200);
        }
        SUBCASE("not longer after an answer")
        {
            service.answer(p.replica, milliseconds(100));
            refuse(150);
            CHECK(service.choices(300)["a"] == 200);
        }
        SUBCASE("longer if many daemons use its slots")
        {
            service.balancer.setDaemons(60);
            refuse(1000);
            CHECK(service.choices(1900)["b"] == 200);
            CHECK(service.choices(3100)["a"] == 200);
        }
        SUBCASE("but is better than none")
        {
            refuse(200);
            service.request.tried.insert(service.entryOf("b").incarnation);
            CHECK(service.choices(210)["a"] == 200);
        }
        SUBCASE("and better than an ejected one")
        {
            refuse(200);
            const placement other = service.placementOf("b");
            service.balancer.onSent(other, service.request, at(200));
            service.balancer.onDone(other, send_outcome::Unreachable, at(200));
            CHECK(service.choices(210)["a"] == 200);
        }
    }

    TEST_CASE("without the mechanism a refusal is forgotten at once")
    {
        plain_service service({"here", "here"}, without(mechanism::ShedBackoff));
        service.connected = {"a"};
        service.balancer.onShed(service.placementOf("a"), service.request, at(0));
        CHECK(service.choices(1)["a"] == 200);
    }

    // Guards against sessions that lose the engine that has cached their prompt.
    TEST_CASE("an engine that refused a request is not avoided")
    {
        plain_service service({"here", "here"});
        service.connected = {"a"};
        placement_request prompt = service.request;
        prompt.promptTokens = 100;
        service.balancer.onShed(service.placementOf("a"), prompt, at(0));
        CHECK(service.choices(1)["a"] == 200);
    }
}

// Guards against a replica that fails fast and is taken for a fast one: the time to a failure is no
// sample of its speed.
TEST_CASE("the cost of a replica does not fall when it fails requests at once")
{
    for (const send_outcome fault : {send_outcome::Broken, send_outcome::Failed}) {
        INFO(toName(fault));
        plain_service service({"here"});
        plain_service sameDraws({"here"});
        const placement p = service.placementOf("a");
        service.balancer.onSent(p, service.request, at(0));
        service.balancer.onDone(p, fault, at(1));
        CHECK(service.choose(2)->cost >= sameDraws.choose(2)->cost);
    }
}

} // namespace azurehill
