#include "members/members.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

member_state state(const std::string &name, std::int64_t incarnation = 1, std::uint64_t beat = 1)
{
    member_state m;
    m.name = {name};
    m.incarnation = incarnation;
    m.beat = beat;
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

} // namespace

TEST_SUITE("members")
{
    TEST_CASE("a member whose beat stands still is gone, and back with its next beat")
    {
        // A host froze for three seconds. Callers were sent there until a second after it stopped,
        // and again right after it woke.
        member_list list(state("self"), 1);
        CHECK(list.onHeard({state("a")}, at(0)).size() == 1);
        CHECK(list.alive().size() == 1);
        CHECK(list.onRound(at(1000)).empty());
        // Others go on repeating what they heard from it last.
        list.onHeard({state("a")}, at(1100));
        const auto gone = list.onRound(at(1300));
        REQUIRE(gone.size() == 1);
        CHECK_FALSE(gone.front().isAlive);
        CHECK(list.alive().empty());
        CHECK(list.onHeard({state("a", 1, 2)}, at(4000)).size() == 1);
        CHECK(list.alive().size() == 1);
    }

    TEST_CASE("a restarted member counts from one again")
    {
        member_list list(state("self"), 1);
        list.onHeard({state("a", 1, 500)}, at(0));
        list.onHeard({state("a", 2, 1)}, at(100));
        CHECK(list.alive().front().incarnation == 2);
        list.onHeard({state("a", 1, 501)}, at(200));
        CHECK(list.alive().front().incarnation == 2);
    }

    TEST_CASE("a beat reaches everyone in a few rounds, at three daemons and at ninety")
    {
        for (const int size : {3, 90}) {
            std::vector<member_list> lists;
            for (int i = 0; i < size; ++i)
                lists.emplace_back(state("m" + std::to_string(i)), std::uint64_t(i) + 1);
            for (member_list &l : lists) {
                for (int i = 0; i < size; ++i)
                    l.onListed(state("m" + std::to_string(i), 0, 0));
            }
            int rounds = 0;
            const auto complete = [&] {
                return std::all_of(lists.begin(), lists.end(), [&](const member_list &l) {
                    return l.alive().size() + 1 == std::size_t(size);
                });
            };
            while (!complete() && rounds < 60) {
                ++rounds;
                for (std::size_t i = 0; i < lists.size(); ++i) {
                    lists[i].onRound(at(rounds * 200));
                    const auto message = lists[i].digest(40);
                    for (const member_state &peer : lists[i].pickPeers(4)) {
                        const auto index = std::stoul(peer.name.value.substr(1));
                        lists[index].onHeard(message, at(rounds * 200));
                    }
                }
            }
            CHECK(rounds <= (size == 3 ? 3 : 25));
        }
    }

    TEST_CASE("what is said of members survives the way")
    {
        member_state m = state("a", 7, 9);
        m.storeReachable = true;
        m.configVersion = 41;
        const auto back = decodeMembers(encodeMembers({m}));
        REQUIRE(back);
        CHECK(back->front().incarnation == 7);
        CHECK(back->front().configVersion == 41);
        CHECK(back->front().storeReachable);
        CHECK_FALSE(decodeMembers("{}"));
        CHECK_FALSE(decodeMembers("not json"));

        SUBCASE("with what the daemon wants of the engines, and holds to be right there")
        {
            m.placeWords = {{"model", {78, 24, 2.94, 16.5}}, {"other", {}}};
            CHECK(decodeMembers(encodeMembers({m}))->front().placeWords == m.placeWords);
        }
        SUBCASE("a daemon of an older release tells nothing of it")
        {
            std::string text = encodeMembers({m});
            const std::string places = R"(,"places":{})";
            text.erase(text.find(places), places.size());
            REQUIRE(decodeMembers(text));
            CHECK(decodeMembers(text)->front().placeWords.empty());
        }
        SUBCASE("numbers that no daemon can have are refused")
        {
            m.placeWords = {{"model", {1, 1, 1, 1}}};
            const std::string text = encodeMembers({m});
            const std::string numbers = "[100,100,100,100]";
            REQUIRE(text.find(numbers) != std::string::npos);
            for (const std::string wrong : {"[-1,100,100,100]", "[100,99999999999,100,100]",
                                            "[100,100]", "7", "[1,1,1,\"x\"]"}) {
                std::string changed = text;
                changed.replace(changed.find(numbers), numbers.size(), wrong);
                CHECK_FALSE(decodeMembers(changed));
            }
        }
        SUBCASE("a number beyond what is told is told as the largest")
        {
            m.placeWords = {{"model", {1e12, 1, 1, 1}}};
            CHECK(decodeMembers(encodeMembers({m})));
        }
    }
}

} // namespace azurehill::test
