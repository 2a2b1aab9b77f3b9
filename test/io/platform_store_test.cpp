#include "loopback.h"
#include "members/members.h"
#include "platform/platform_store.h"
#include "platform/store_rows.h"
#include "standin/store_standin.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

time_point later(duration d)
{
    return runtime_clock::now() + d;
}

store_transaction put(const std::string &key, const std::string &value, store_version expected)
{
    const row_name name{"t", "p", key};
    store_transaction t;
    t.conditions.push_back({name, expected});
    t.writes.push_back({name, value});
    return t;
}

/// \brief A stand-in of the store and a client connected to it.
struct store_client_fixture
{
    store_client_fixture()
        : standin(context.get_executor(), rows),
          transport(std::make_shared<peer_transport>(context.get_executor(),
                                                     endpoint{"127.0.0.1", standin.listen()})),
          client(transport)
    { }

    store_result<store_version> write(const std::string &key, const std::string &value,
                                      store_version expected, duration limit = seconds(5))
    {
        store_result<store_version> result;
        auto go = [&]() -> awaitable<void> {
            store_transaction t = put(key, value, expected);
            result = co_await client.transact(std::move(t), later(limit));
        };
        runIn(context, go());
        return result;
    }

    store_result<row_page> read(const std::string &from = "", const std::string &to = "")
    {
        store_result<row_page> result;
        auto go = [&]() -> awaitable<void> {
            row_range range{"t", "p", from, to};
            result = co_await client.read(std::move(range), later(seconds(5)));
        };
        runIn(context, go());
        return result;
    }

    store_result<row_page> changes(store_version after, duration wait = milliseconds(0))
    {
        store_result<row_page> result;
        auto go = [&]() -> awaitable<void> {
            std::string table = "t";
            result = co_await client.changes(std::move(table), after, wait, later(seconds(5)));
        };
        runIn(context, go());
        return result;
    }

    /// \brief Makes the stand-in apply \p trouble to the next call only.
    void injectOnce(store_trouble trouble)
    {
        once = trouble;
        standin.nextTrouble
            = [this](std::string_view) { return std::exchange(once, store_trouble::None); };
    }

    store_trouble once = store_trouble::None;
    asio::io_context context;
    row_store rows;
    store_standin standin;
    std::shared_ptr<peer_transport> transport;
    platform_store client;
};

} // namespace

TEST_SUITE("platform store")
{
    TEST_CASE("rows are written under conditions and read by ranges")
    {
        store_client_fixture w;
        const auto first = w.write("a", std::string("\0\xff odd", 6), 0);
        REQUIRE(first);
        CHECK(w.write("b&c=", "two", 0));
        const auto page = w.read();
        REQUIRE(page);
        REQUIRE(page->rows.size() == 2);
        CHECK(page->rows[0].value == std::string("\0\xff odd", 6));
        CHECK(page->rows[1].name.key == "b&c=");
        CHECK(w.read("b", "c")->rows.size() == 1);

        SUBCASE("a condition that fails shows the row as it is")
        {
            const auto again = w.write("a", "x", 0);
            REQUIRE_FALSE(again);
            CHECK(again.error().kind == store_error_kind::Conflict);
            REQUIRE(again.error().current.size() == 1);
            CHECK(again.error().current[0].version == *first);
        }
        SUBCASE("more rows than one answer holds come in several")
        {
            store_transaction many;
            for (int i = 0; i < 1200; ++i)
                many.writes.push_back({{"t", "p", "k" + std::to_string(10'000 + i)}, "v"});
            static_cast<void>(w.rows.apply(many));
            CHECK(w.read()->rows.size() == 1202);
        }
        SUBCASE("the feed tells of changes until its history is gone")
        {
            CHECK(w.changes(0)->rows.size() == 2);
            w.rows.forgetHistory();
            CHECK(w.changes(0).error().kind == store_error_kind::HistoryGone);
        }
    }

    TEST_CASE("the partitions of a table are listed page by page")
    {
        store_client_fixture w;
        constexpr int count = 1001;
        store_transaction t;
        for (int i = 0; i < count; ++i)
            t.writes.push_back({{"t", "p/" + std::to_string(1000 + i), "k"}, "v"});
        t.writes.push_back({{"other", "p/9", "k"}, "v"});
        static_cast<void>(w.rows.apply(t));
        store_result<partition_page> page;
        const auto list = [&](std::string after) -> awaitable<void> {
            page = co_await w.client.partitions("t", std::move(after), later(seconds(5)));
        };
        runIn(w.context, list(""));
        REQUIRE(page);
        CHECK(page->names.size() == 1000);
        CHECK(page->names.front() == "p/1000");
        CHECK(page->hasMore);
        runIn(w.context, list(page->names.back()));
        REQUIRE(page);
        CHECK(page->names == std::vector<std::string>{"p/2000"});
        CHECK_FALSE(page->hasMore);
    }

    TEST_CASE("a failed call says whether something may have been done")
    {
        store_client_fixture w;
        const auto kindAfter = [&](store_trouble trouble) {
            w.injectOnce(trouble);
            const auto result = w.write("a", "x", 0, milliseconds(150));
            REQUIRE_FALSE(result);
            return result.error().kind;
        };
        CHECK(kindAfter(store_trouble::TooMany) == store_error_kind::Limited);
        CHECK(kindAfter(store_trouble::Unavailable) == store_error_kind::Refused);
        CHECK(w.rows.size() == 0);
        CHECK(kindAfter(store_trouble::Silent) == store_error_kind::Unknown);
        CHECK(w.rows.size() == 0);
        CHECK(kindAfter(store_trouble::Late) == store_error_kind::Unknown);
        CHECK(w.rows.size() == 0);
        w.standin.settleLate();
        CHECK(w.rows.size() == 1);
        w.injectOnce(store_trouble::AnswerLost);
        CHECK(w.write("b", "x", 0).error().kind == store_error_kind::Unknown);
        CHECK(w.rows.size() == 2);
    }

    TEST_CASE("an outage is known after two failures, and its end by a single call")
    {
        store_client_fixture w;
        w.standin.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
        CHECK_FALSE(w.write("a", "x", 0));
        CHECK(w.client.isReachable());
        CHECK_FALSE(w.write("a", "x", 0));
        CHECK_FALSE(w.client.isReachable());
        w.standin.nextTrouble = [](std::string_view) { return store_trouble::None; };
        CHECK(w.write("a", "x", 0));
        CHECK(w.client.isReachable());
    }

    TEST_CASE("a store at its limit is no outage, also for a daemon that was quiet before")
    {
        // After all hosts had restarted at the same time, the store rate limited them. A daemon
        // whose last answer was more than 0.5 s old reported an outage at the first rejections: it
        // sent its calls through peers and refused turns without asking the store.
        const paused_clock pause;
        store_client_fixture w;
        const auto writeLimited = [&] {
            store_result<store_version> result;
            auto go = [&]() -> awaitable<void> {
                store_transaction t = put("a", "x", 0);
                result = co_await w.client.transact(std::move(t), later(seconds(1)));
            };
            runInSteps(w.context, go(), milliseconds(5));
            CHECK(result.error().kind == store_error_kind::Limited);
        };
        w.standin.nextTrouble = [](std::string_view) { return store_trouble::TooMany; };
        runtime_clock::advance(seconds(3));
        writeLimited();
        writeLimited();
        CHECK(w.client.isReachable());
        CHECK(w.transport->isDirectWorking());

        SUBCASE("but one that refuses everything for a while turns this host away")
        {
            runtime_clock::advance(seconds(1));
            writeLimited();
            CHECK_FALSE(w.transport->isDirectWorking());
            writeLimited();
            CHECK_FALSE(w.client.isReachable());
        }
    }

    TEST_CASE("a watched store is asked by itself whether it is back")
    {
        // Without probes, an outage ended only with a successful call. If no caller made one in the
        // outage's last seconds, the first program after it was refused although the store was
        // back.
        store_client_fixture w;
        spawn(w.context.get_executor(), "watchOutages", w.client.probeDuringOutages());
        w.standin.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
        CHECK_FALSE(w.write("a", "x", 0));
        CHECK_FALSE(w.write("a", "x", 0));
        const paused_clock pause;
        auto awaitReachable = [&](duration timeout) -> awaitable<void> {
            const time_point until = later(timeout);
            while (!w.client.isReachable() && runtime_clock::now() < until)
                co_await sleepFor(milliseconds(10));
        };
        SUBCASE("until then no caller is sent ahead to find out")
        {
            runInSteps(w.context, awaitReachable(seconds(2)), milliseconds(10));
            CHECK_FALSE(w.client.isReachable());
        }
        SUBCASE("and then all may call again")
        {
            w.standin.nextTrouble = [](std::string_view) { return store_trouble::None; };
            runInSteps(w.context, awaitReachable(seconds(5)), milliseconds(10));
            CHECK(w.client.isReachable());
        }
    }

    TEST_CASE("a call that was made before the last answer tells of no outage")
    {
        // Calls sent during an outage timed out within 0.8 s after its end, and the daemon counted
        // them as a new outage: it refused turns with `store_unavailable` after 0 ms and held back
        // the ends of answers until their clients disconnected.
        store_client_fixture w;
        int calls = 0;
        int lostCalls = 0;
        w.standin.nextTrouble = [&](std::string_view) {
            return ++calls <= 2 ? store_trouble::Silent : store_trouble::None;
        };
        auto loseCall = [&]() -> awaitable<void> {
            store_transaction t = put("a", "x", 0);
            const auto result = co_await w.client.transact(std::move(t), later(milliseconds(100)));
            CHECK_FALSE(result);
            ++lostCalls;
        };
        auto scenario = [&]() -> awaitable<void> {
            spawn(w.context.get_executor(), "loseOne", loseCall());
            spawn(w.context.get_executor(), "loseOne", loseCall());
            while (calls < 2)
                co_await sleepFor(milliseconds(1));
            store_transaction t = put("b", "x", 0);
            const auto result = co_await w.client.transact(std::move(t), later(seconds(1)));
            CHECK(result);
            while (lostCalls < 2)
                co_await sleepFor(milliseconds(1));
        };
        runIn(w.context, scenario());
        CHECK(w.client.isReachable());
    }

    TEST_CASE("a call that the store holds on purpose is no outage")
    {
        // The direct transport timed out long polls of a feed without changes and repeated them
        // through a peer. Every daemon logged "store lost" twice a second and made half of its
        // calls twice.
        store_client_fixture w;
        REQUIRE(w.write("a", "x", 0));
        w.transport->setPeers({{"127.0.0.1", 1}});
        const auto quiet = w.changes(w.rows.version(), milliseconds(500));
        REQUIRE(quiet);
        CHECK(quiet->rows.empty());
        CHECK(w.transport->isDirectWorking());
        CHECK(w.standin.calls() == 2);
    }

    TEST_CASE("a host that the store turns away goes through a peer")
    {
        // The store answered two of nine hosts with 503 and served the others. Programs on the two
        // stalled for nine seconds, although the other hosts could have relayed their calls.
        store_client_fixture w;
        row_store &rows = w.rows;
        store_standin peerStandin(w.context.get_executor(), rows);
        peer_transport peer(w.context.get_executor(), {"127.0.0.1", peerStandin.listen()});
        http_server relay(
            w.context.get_executor(), {},
            [&](const http_request &request, response_writer &writer) -> awaitable<void> {
                http_response response = co_await answerRelayedCall(peer, request);
                co_await writer.write(std::move(response));
            });
        w.transport->setPeers({{"127.0.0.1", relay.listen({"127.0.0.1", 0})}});
        w.standin.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
        CHECK(w.write("a", "x", 0));
        CHECK(w.read()->rows.size() == 1);
        CHECK_FALSE(w.transport->isDirectWorking());
        const time_point previousAnswer = w.transport->lastAnswer();
        CHECK(w.read());
        CHECK(w.transport->lastAnswer() > previousAnswer);

        SUBCASE("a call that the store holds on purpose is no outage for the peer")
        {
            // While the store rejected two hosts, each other host in turn logged "store lost" and
            // left the look-ups: it timed out the long polls that it relayed for the two after a
            // second and counted that as its own loss of the store.
            const paused_clock pause;
            store_result<row_page> quiet;
            auto go = [&]() -> awaitable<void> {
                std::string table = "t";
                quiet = co_await w.client.changes(std::move(table), rows.version(), seconds(2),
                                                  later(seconds(3)));
            };
            runInSteps(w.context, go(), milliseconds(20));
            CHECK(quiet);
            INFO(peer.lastDirectFailure());
            CHECK(peer.isDirectWorking());
        }

        SUBCASE("what the peer can't get either makes the store's age grow")
        {
            peerStandin.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
            const time_point last = w.transport->lastAnswer();
            CHECK_FALSE(w.read());
            CHECK(w.transport->lastAnswer() == last);
        }

        SUBCASE("a write that may have been done is not called refused when the peer fails too")
        {
            // The direct call is applied but its answer is lost, and the peer answers 503.
            // Reporting the write as not done would report a turn as not run that is already
            // charged.
            CHECK(w.transport->isDirectWorking() == false);
            const auto wait = w.client.isReachable();
            CHECK(wait);
            peerStandin.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
            w.standin.nextTrouble = [](std::string_view) { return store_trouble::AnswerLost; };
            const auto result = w.write("b", "x", 0);
            REQUIRE_FALSE(result);
            CHECK(result.error().kind == store_error_kind::Unknown);
        }
    }
}

} // namespace azurehill::test
