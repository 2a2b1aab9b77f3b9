#include "entry/replica_discovery.h"
#include "fake_store.h"
#include "loopback.h"

#include <doctest/doctest.h>

#include <memory>

namespace azurehill::test {

namespace {

std::string entryText(int slots, const std::string &state = "ready")
{
    return R"({"service":"model","address":"10.0.0.7:80","zone":"z","slots":)"
        + std::to_string(slots) + R"(,"state":")" + state + R"(","seq_no":1,"born":5})";
}

/// \brief A daemon with its own view of the store, which answers others.
struct discovery_daemon
{
    discovery_daemon(asio::io_context &context, row_store &rows, const std::string &name)
        : inner(rows), follower(context.get_executor(), inner,
                                std::make_shared<peer_transport>(context.get_executor(),
                                                                 endpoint{"127.0.0.1", 1}),
                                {name}, {}, [this](std::vector<replica_entry>) { ++told; }),
          server(context.get_executor(), {},
                 [this](const http_request &request, response_writer &writer) {
                     return answer(request, writer);
                 })
    {
        address = {"127.0.0.1", server.listen({"127.0.0.1", 0})};
    }

    awaitable<void> answer(const http_request &request, response_writer &writer)
    {
        ++asked;
        http_response response = follower.serveChanges(request);
        co_await writer.write(std::move(response));
    }

    peer_digest news() const { return {address, *follower.digest(), runtime_clock::now()}; }

    fake_store inner;
    replica_discovery follower;
    http_server server;
    endpoint address;
    int told = 0;
    int asked = 0;
};

void put(row_store &rows, const std::string &id, const std::string &value)
{
    store_transaction t;
    t.writes.push_back({{"servers", "", id}, value});
    REQUIRE(rows.apply(t));
}

awaitable<void> untilUpdates(const discovery_daemon &daemon, int times)
{
    // The store's answers take some milliseconds of the paused clock.
    while (daemon.told < times) {
        runtime_clock::advance(std::chrono::microseconds(10));
        co_await yieldOnce();
    }
}

} // namespace

TEST_SUITE("replica follower")
{
    TEST_CASE("a daemon that does not reach the store takes the entries from one that does")
    {
        // A host that the store turns away would send work to a replica that leaves.
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon reader(context, rows, "reader");
        discovery_daemon other(context, rows, "other");
        put(rows, "i-1", entryText(4));
        put(rows, "i-2", entryText(4));
        auto body = [&]() -> awaitable<void> {
            spawn(context.get_executor(), "follow", reader.follower.follow());
            co_await untilUpdates(reader, 1);
            other.follower.onDigest(reader.news());
            co_await untilUpdates(other, 1);
        };
        runIn(context, body());
        CHECK(other.follower.replicas().size() == 2);
        CHECK(reader.asked == 1);

        SUBCASE("and asks nothing while the copies are the same")
        {
            other.follower.onDigest(reader.news());
            auto wait = [&]() -> awaitable<void> { co_await yieldOnce(); };
            runIn(context, wait());
            CHECK(reader.asked == 1);
            CHECK(other.told == 1);
        }
    }

    TEST_CASE("a daemon whose peer hands nothing out reads the table itself")
    {
        // The peer was killed after it told that it has newer entries.
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon other(context, rows, "other");
        put(rows, "i-1", entryText(4, "draining"));
        auto body = [&]() -> awaitable<void> {
            const endpoint nobody{"127.0.0.1", 1};
            other.follower.onDigest({nobody, {99, 1, duration::zero()}, runtime_clock::now()});
            co_await untilUpdates(other, 1);
        };
        runIn(context, body());
        REQUIRE(other.follower.replicas().size() == 1);
        CHECK(other.follower.replicas().begin()->second.draining);
    }

    // Guards against reads that grow with the number of replicas, whatever changes.
    TEST_CASE("a daemon that has a copy reads what changed since")
    {
        constexpr int entries = 1000;
        constexpr int looks = 40;
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon daemon(context, rows, "reader");
        for (int i = 0; i < entries; ++i)
            put(rows, "i-" + std::to_string(i), entryText(4));
        const auto look = [&] {
            auto wait = []() -> awaitable<void> { co_await sleepFor(milliseconds(600)); };
            runInSteps(context, wait(), milliseconds(100));
        };
        spawn(context.get_executor(), "follow", daemon.follower.follow());
        look();
        REQUIRE(daemon.follower.replicas().size() == entries);
        CHECK(daemon.inner.rowsRead == entries);

        SUBCASE("and takes in only that")
        {
            for (int i = 0; i < looks; ++i) {
                put(rows, "i-7", entryText(4 + i));
                look();
            }
            look();
            CHECK(daemon.follower.replicas().at({"i-7"}).slots == 4 + looks - 1);
            // A few reads are of all rows, to find out a copy that went wrong.
            CHECK(daemon.inner.rowsRead < 6 * entries);
        }
        SUBCASE("and of one that is gone")
        {
            store_transaction t;
            t.removals.push_back({"servers", "", "i-7"});
            REQUIRE(rows.apply(t));
            for (int i = 0; i < 3; ++i)
                look();
            CHECK(daemon.follower.replicas().size() == entries - 1);
        }
        SUBCASE("or all rows when the store has forgotten that")
        {
            daemon.inner.isHistoryGone = true;
            put(rows, "i-7", entryText(6));
            for (int i = 0; i < 3; ++i)
                look();
            CHECK(daemon.follower.replicas().at({"i-7"}).slots == 6);
        }
    }

    // Guards against a start in which each daemon reads the whole table from the store.
    TEST_CASE("daemons that start together read by turns")
    {
        for (const int size : {3, 64, 256}) {
            CAPTURE(size);
            row_store rows;
            asio::io_context context;
            put(rows, "i-1", entryText(4));
            std::vector<std::unique_ptr<discovery_daemon>> daemons;
            for (int i = 0; i < size; ++i) {
                daemons.push_back(
                    std::make_unique<discovery_daemon>(context, rows, "d" + std::to_string(i)));
                daemons.back()->follower.setDaemons(std::size_t(size));
                spawn(context.get_executor(), "follow", daemons.back()->follower.follow());
            }
            const paused_clock pause;
            auto wait = []() -> awaitable<void> { co_await sleepFor(milliseconds(100)); };
            runInSteps(context, wait(), milliseconds(20));
            std::size_t reads = 0;
            for (const auto &daemon : daemons)
                reads += daemon->inner.rowsRead;
            CHECK(reads >= std::size_t(std::min(size, 4)));
            CHECK(reads <= 40);
        }
    }

    // Guards against a daemon that is kept busy with copies of the whole table.
    TEST_CASE("the whole table is handed out now and then only")
    {
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon reader(context, rows, "reader");
        for (int i = 0; i < 200; ++i)
            put(rows, "i-" + std::to_string(i), entryText(4));
        auto body = [&]() -> awaitable<void> {
            spawn(context.get_executor(), "follow", reader.follower.follow());
            co_await untilUpdates(reader, 1);
        };
        runIn(context, body());
        http_request whole;
        whole.target = "/inner/replicas?after=0";
        CHECK(reader.follower.serveChanges(whole).status == 200);
        CHECK(reader.follower.serveChanges(whole).status == 503);
        runtime_clock::advance(seconds(1));
        CHECK(reader.follower.serveChanges(whole).status == 200);
    }

    TEST_CASE("what is no version is refused, and nothing is handed out before there is a copy")
    {
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon daemon(context, rows, "a");
        http_request request;
        request.target = "/inner/replicas?after=x";
        CHECK(replica_discovery::isChangesRequest(request));
        CHECK(daemon.follower.serveChanges(request).status == 400);
        request.target = "/inner/replicas?after=3";
        CHECK(daemon.follower.serveChanges(request).status == 503);
    }
}

} // namespace azurehill::test
