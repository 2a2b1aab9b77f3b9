#include "members/members.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

member_state state(const std::string &name, std::int64_t incarnation = 1, std::uint64_t version = 1)
{
    member_state m;
    m.name = {name};
    m.incarnation = incarnation;
    m.version = version;
    m.clients = {"10.0.0.1", 1};
    m.peers = {"10.0.0.1", 2};
    m.gossip = {"10.0.0.1", 3};
    m.serving = true;
    return m;
}

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

const endpoint peer{"10.0.0.2", 3};

probe_message from(const std::string &name, std::int64_t incarnation, std::uint64_t version,
                   probe_kind kind = probe_kind::Ping)
{
    probe_message m;
    m.kind = kind;
    m.sequence = 5;
    m.sender = {name};
    m.incarnation = incarnation;
    m.version = version;
    return m;
}

probe_message pingWithState(const member_state &m)
{
    probe_message message = from(m.name.value, m.incarnation, m.version);
    message.updates.push_back({m, member_health::Alive});
    return message;
}

} // namespace

TEST_SUITE("members")
{
    TEST_CASE("what is held of a member follows its last word")
    {
        member_list list;
        CHECK(list.apply({state("a", 1, 4), member_health::Alive}, {}));
        CHECK(list.aliveCount() == 1);

        SUBCASE("others may doubt that word, and only a later one betters it")
        {
            CHECK(list.apply({state("a", 1, 4), member_health::Suspect}, at(600)));
            CHECK(list.aliveCount() == 1);
            CHECK(list.healthy().empty());
            CHECK_FALSE(list.apply({state("a", 1, 4), member_health::Alive}, {}));
            CHECK(list.apply({state("a", 1, 5), member_health::Alive}, {}));
            CHECK(list.healthy().size() == 1);
            CHECK(list.expire(at(700)).empty());
        }
        SUBCASE("a suspicion that is not denied is a death, which others repeat in vain")
        {
            list.apply({state("a", 1, 4), member_health::Suspect}, at(600));
            CHECK(list.expire(at(599)).empty());
            CHECK(list.expire(at(600)).size() == 1);
            CHECK(list.alive().empty());
            CHECK_FALSE(list.apply({state("a", 1, 4), member_health::Alive}, {}));
            CHECK_FALSE(list.apply({state("a", 1, 4), member_health::Suspect}, at(900)));
            CHECK(list.silent().size() == 1);
        }
        SUBCASE("a restarted member counts from one again")
        {
            CHECK(list.apply({state("a", 2, 1), member_health::Alive}, {}));
            CHECK_FALSE(list.apply({state("a", 1, 501), member_health::Dead}, {}));
            CHECK(list.alive().front()->incarnation == 2);
        }
        SUBCASE("one that is long gone is forgotten")
        {
            list.apply({state("a", 1, 4), member_health::Dead}, at(0));
            list.expire(at(599'000));
            CHECK(list.known() == 1);
            list.expire(at(601'000));
            CHECK(list.known() == 0);
        }
        SUBCASE("changes are told once")
        {
            CHECK(list.takeChanges().size() == 1);
            list.apply({state("a", 1, 4), member_health::Dead}, {});
            const auto changes = list.takeChanges();
            REQUIRE(changes.size() == 1);
            CHECK_FALSE(changes.front().isAlive);
            CHECK(list.takeChanges().empty());
        }
    }

    TEST_CASE("a member that the store names counts as alive once it is heard of")
    {
        // A row outlives a host that lost its power.
        member_list list;
        list.onStoredMember(state("a", 3, 1), at(0));
        CHECK(list.alive().empty());
        CHECK(list.silent().size() == 1);

        SUBCASE("by its own word, as the row has it")
        {
            CHECK(list.onHeard({"a"}, 3, 1));
            CHECK(list.alive().size() == 1);
        }
        SUBCASE("by a later word, which is asked for first")
        {
            CHECK_FALSE(list.onHeard({"a"}, 4, 1));
            CHECK(list.alive().empty());
            CHECK(list.apply({state("a", 4, 1), member_health::Alive}, {}));
            CHECK(list.alive().size() == 1);
        }
        SUBCASE("not by what others held of it in an earlier run")
        {
            CHECK_FALSE(list.apply({state("a", 2, 9), member_health::Alive}, {}));
            CHECK(list.alive().empty());
        }
    }

    TEST_CASE("a daemon answers pings and says who it is")
    {
        membership_protocol daemon(state("self"), 1);

        SUBCASE("to one that it does not know it also asks back")
        {
            const auto out = daemon.onMessage(from("a", 1, 1), peer, at(0));
            REQUIRE(out.size() == 1);
            CHECK(out.front().to == peer);
            CHECK(out.front().message.kind == probe_kind::Ack);
            CHECK(out.front().message.sequence == 5);
            CHECK(out.front().message.requestsState);
        }
        SUBCASE("what was told unasked gets no answer that asks: two would go on for ever")
        {
            probe_message told = from("a", 1, 1, probe_kind::Ack);
            told.sequence = 0;
            CHECK(daemon.onMessage(told, peer, at(0)).empty());
            told.requestsState = true;
            const auto out = daemon.onMessage(told, peer, at(0));
            REQUIRE(out.size() == 1);
            CHECK_FALSE(out.front().message.requestsState);
            CHECK(out.front().message.updates.back().state.name.value == "self");
        }
        SUBCASE("it denies that it is gone, and tells another that it is held for gone")
        {
            daemon.onMessage(pingWithState(state("a")), peer, at(0));
            probe_message rumour = from("a", 1, 1);
            rumour.updates.push_back({daemon.self(), member_health::Dead});
            const std::uint64_t before = daemon.self().version;
            daemon.onMessage(rumour, peer, at(10));
            CHECK(daemon.self().version == before + 1);
            probe_message doubt = from("b", 1, 1);
            doubt.updates.push_back({state("a"), member_health::Suspect});
            daemon.onMessage(doubt, peer, at(20));
            const auto out = daemon.onMessage(from("a", 1, 1), peer, at(30));
            REQUIRE(out.size() == 1);
            const member_update &last = out.front().message.updates.back();
            CHECK(last.state.name.value == "a");
            CHECK(last.health == member_health::Suspect);
        }
        SUBCASE("it pings for another, and passes the answer on")
        {
            probe_message request = from("a", 1, 1, probe_kind::IndirectPing);
            request.target = endpoint{"10.0.0.9", 3};
            const auto asked = daemon.onMessage(request, peer, at(0));
            REQUIRE(!asked.empty());
            CHECK(asked.front().to == *request.target);
            probe_message answer = from("c", 1, 1, probe_kind::Ack);
            answer.sequence = asked.front().message.sequence;
            const auto passed = daemon.onMessage(answer, *request.target, at(5));
            REQUIRE(!passed.empty());
            CHECK(passed.front().to == peer);
            CHECK(passed.front().message.sequence == 5);
        }
    }

    TEST_CASE("a daemon whose clock went back before it started again is heard all the same")
    {
        // The others hold its earlier run for the later one, and all that the new one says for old.
        membership_protocol daemon(state("self", 1000), 1);
        daemon.onStoredMember(state("self", 5000), at(0));
        CHECK(daemon.self().incarnation == 5001);
        daemon.onStoredMember(state("self", 5000), at(0));
        CHECK(daemon.self().incarnation == 5001);
    }

    TEST_CASE("news goes out twelve times, what was sent least and is newest first")
    {
        update_queue queue;
        queue.add({"a"});
        queue.add({"b"});
        CHECK(queue.take(1).front().value == "b");
        CHECK(queue.take(1).front().value == "a");
        for (int i = 0; i < 11; ++i)
            CHECK(queue.take(5).size() == 2);
        CHECK(queue.take(5).empty());
        queue.add({"a"});
        queue.add({"a"});
        CHECK(queue.size() == 1);
    }

    TEST_CASE("words on places are kept for as long as they are fresh, one of each daemon")
    {
        gossip_reports sample;
        sample.onHeard({"a"}, {{"model", {1, 1, 0, 0}}}, {}, at(0));
        sample.onHeard({"a"}, {{"model", {2, 2, 0, 0}}}, {}, at(100));
        sample.onHeard({"b"}, {{"model", {3, 3, 0, 0}}}, {{{"i"}, replica_report::Fails}}, at(900));
        CHECK(sample.heard().size() == 2);
        CHECK(sample.heard().front().at("model").wanted == 2);
        sample.expire(at(1400));
        CHECK(sample.heard().size() == 1);
    }

    TEST_CASE("what is said of members survives the way")
    {
        member_state m = state("a", 7, 9);
        m.storeReachable = true;
        const auto back = decodeMembers(encodeMembers({m}));
        REQUIRE(back);
        CHECK(back->front().incarnation == 7);
        CHECK(back->front().version == 9);
        CHECK(back->front().storeReachable);
        CHECK_FALSE(decodeMembers("{}"));
        CHECK_FALSE(decodeMembers("not json"));
    }

    TEST_CASE("messages survive the way")
    {
        probe_message m = from("a", 7, 9, probe_kind::IndirectPing);
        m.requestsState = true;
        m.target = peer;
        m.updates.push_back({state("b", 3, 4), member_health::Suspect});
        const auto back = decodeProbe(encodeProbe(m));
        REQUIRE(back);
        CHECK(back->kind == probe_kind::IndirectPing);
        CHECK(back->sequence == 5);
        CHECK(back->requestsState);
        CHECK(back->target == peer);
        REQUIRE(back->updates.size() == 1);
        CHECK(back->updates.front().health == member_health::Suspect);
        CHECK(back->updates.front().state.gossip == state("b").gossip);
        CHECK_FALSE(decodeProbe("[]"));
        CHECK_FALSE(decodeProbe("not json"));

        SUBCASE("with what the daemon wants of the engines, and holds to be right there")
        {
            m.words = {{"model", {78, 24, 2.94, 16.5}}, {"other", {}}};
            CHECK(decodeProbe(encodeProbe(m))->words == m.words);
        }
        SUBCASE("numbers that no daemon can have are refused")
        {
            m.words = {{"model", {1, 1, 1, 1}}};
            const std::string text = encodeProbe(m);
            const std::string numbers = "[100,100,100,100]";
            REQUIRE(text.find(numbers) != std::string::npos);
            for (const std::string wrong : {"[-1,100,100,100]", "[100,99999999999,100,100]",
                                            "[100,100]", "7", "[1,1,1,\"x\"]"}) {
                std::string changed = text;
                changed.replace(changed.find(numbers), numbers.size(), wrong);
                CHECK_FALSE(decodeProbe(changed));
            }
        }
        SUBCASE("a number beyond what is told is told as the largest")
        {
            m.words = {{"model", {1e12, 1, 1, 1}}};
            CHECK(decodeProbe(encodeProbe(m)));
        }
    }
}

} // namespace azurehill::test
