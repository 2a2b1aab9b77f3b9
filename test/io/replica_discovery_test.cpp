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

/// \brief A daemon with its own view of the store, which serves its changes to others.
struct discovery_daemon
{
    discovery_daemon(asio::io_context &context, row_store &rows, const std::string &name)
        : inner(rows), discovery(context.get_executor(), inner,
                                 std::make_shared<peer_transport>(context.get_executor(),
                                                                  endpoint{"127.0.0.1", 1}),
                                 {name}, {}, [this](std::vector<replica_entry>) { ++updates; }),
          server(context.get_executor(), {},
                 [this](const http_request &request, response_writer &writer) {
                     return answer(request, writer);
                 })
    {
        address = {"127.0.0.1", server.listen({"127.0.0.1", 0})};
    }

    awaitable<void> answer(const http_request &request, response_writer &writer)
    {
        ++changeRequests;
        http_response response = discovery.serveChanges(request);
        co_await writer.write(std::move(response));
    }

    peer_digest announcement() const
    {
        return {address, *discovery.digest(), runtime_clock::now()};
    }

    fake_store inner;
    replica_discovery discovery;
    http_server server;
    endpoint address;
    int updates = 0;
    int changeRequests = 0;
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
    while (daemon.updates < times) {
        runtime_clock::advance(std::chrono::microseconds(10));
        co_await yieldOnce();
    }
}

} // namespace

TEST_SUITE("replica follower")
{
    TEST_CASE("a daemon that does not reach the store takes the entries from one that does")
    {
        // Guards against a host that the store rejects and that would send requests to a leaving
        // replica.
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon reader(context, rows, "reader");
        discovery_daemon other(context, rows, "other");
        put(rows, "i-1", entryText(4));
        put(rows, "i-2", entryText(4));
        auto body = [&]() -> awaitable<void> {
            spawn(context.get_executor(), "follow", reader.discovery.follow());
            co_await untilUpdates(reader, 1);
            other.discovery.onDigest(reader.announcement());
            co_await untilUpdates(other, 1);
        };
        runIn(context, body());
        CHECK(other.discovery.replicas().size() == 2);
        CHECK(reader.changeRequests == 1);

        SUBCASE("and asks nothing while the copies are the same")
        {
            other.discovery.onDigest(reader.announcement());
            auto wait = [&]() -> awaitable<void> { co_await yieldOnce(); };
            runIn(context, wait());
            CHECK(reader.changeRequests == 1);
            CHECK(other.updates == 1);
        }
    }

    TEST_CASE("a daemon whose peer hands nothing out reads the table itself")
    {
        // The peer was killed after it had announced newer entries.
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon other(context, rows, "other");
        put(rows, "i-1", entryText(4, "draining"));
        auto body = [&]() -> awaitable<void> {
            const endpoint unreachable{"127.0.0.1", 1};
            other.discovery.onDigest(
                {unreachable, {99, 1, duration::zero()}, runtime_clock::now()});
            co_await untilUpdates(other, 1);
        };
        runIn(context, body());
        REQUIRE(other.discovery.replicas().size() == 1);
        CHECK(other.discovery.replicas().begin()->second.draining);
    }

    // Guards against a stream that goes on at a replica longer after the store's acknowledgement
    // than the drain time, since the daemon learned of it late.
    TEST_CASE("the drain time of a replica counts from before the store accepted its notice")
    {
        constexpr duration drain = seconds(3);
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon daemon(context, rows, "reader");
        daemon.discovery.setDrainTime(drain);
        put(rows, "i-1", entryText(4));
        const auto wait = [&](duration time) {
            auto sleep = [time]() -> awaitable<void> { co_await sleepFor(time); };
            runInSteps(context, sleep(), milliseconds(50));
        };
        const auto entry
            = [&](const std::string &id) { return daemon.discovery.replicas().at({id}); };
        spawn(context.get_executor(), "follow", daemon.discovery.follow());
        wait(seconds(5));
        REQUIRE(daemon.discovery.replicas().size() == 1);

        SUBCASE("and ends before it does for the store")
        {
            put(rows, "i-1", entryText(4, "draining"));
            const time_point acceptedAt = runtime_clock::now();
            wait(seconds(2));
            REQUIRE(entry("i-1").draining);
            CHECK(entry("i-1").drainDeadline < acceptedAt + drain);
            CHECK(entry("i-1").drainDeadline > acceptedAt + drain / 3);
            const time_point deadline = entry("i-1").drainDeadline;
            wait(seconds(2));
            CHECK(entry("i-1").drainDeadline == deadline);
        }
        SUBCASE("and is over for a replica that was never seen ready")
        {
            put(rows, "i-2", entryText(4, "draining"));
            wait(seconds(2));
            REQUIRE(entry("i-2").draining);
            CHECK(entry("i-2").drainDeadline < runtime_clock::now());
        }
    }

    // Guards against a daemon that ends, or no longer follows the table, as another writer left odd
    // entries among those of the replicas.
    TEST_CASE("odd entries hide no replica, at the start, later, and in what a peer hands on")
    {
        constexpr std::size_t depth = 20'000;
        const std::string number(60'000, '9');
        const std::string usual = entryText(4);
        const auto withField = [&](const std::string &field, const std::string &value) {
            std::string text = usual;
            const std::size_t start = text.find("\"" + field + "\":") + field.size() + 3;
            return text.replace(start, text.find_first_of(",}", start) - start, value);
        };
        std::vector<std::pair<std::string, std::string>> odd;
        int count = 0;
        for (const std::string &value :
             {std::string(depth, '[') + std::string(depth, ']'), number, "-" + number,
              std::string("1e400"), std::string("9223372036854775808"), std::string("null"),
              std::string(R"("10.0.0.7:0")"), std::string(R"("10.0.0.7:-1")"),
              std::string(R"("10.0.0.7:65536")"), "\"10.0.0.7:" + number + "\"",
              std::string("\"\xff\""), std::string(R"("a\r\nX: y")")}) {
            for (const std::string field : {"address", "slots", "seq_no", "born"})
                odd.emplace_back("odd" + std::to_string(++count), withField(field, value));
            odd.emplace_back("odd" + std::to_string(++count), value);
        }
        odd.emplace_back("i-1\r\nX: y", usual);
        odd.emplace_back("\xff", usual);
        odd.emplace_back("big", std::string(65'536, '['));

        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon reader(context, rows, "reader");
        discovery_daemon other(context, rows, "other");
        const auto wait = [&](duration time) {
            auto sleep = [time]() -> awaitable<void> { co_await sleepFor(time); };
            runInSteps(context, sleep(), milliseconds(50));
        };
        put(rows, "i-1", usual);
        for (const auto &[id, value] : odd)
            put(rows, id, value);
        spawn(context.get_executor(), "follow", reader.discovery.follow());
        wait(seconds(3));
        CHECK(reader.discovery.replicas().contains({"i-1"}));

        for (int round = 0; round < 20; ++round) {
            store_transaction t;
            for (const auto &[id, value] : odd) {
                if (round % 2 == 0)
                    t.removals.push_back({"servers", "", id});
                else
                    t.writes.push_back({{"servers", "", id}, value});
            }
            REQUIRE(rows.apply(t));
            const std::string id = "new" + std::to_string(round);
            put(rows, id, usual);
            wait(seconds(2));
            CHECK(reader.discovery.replicas().contains({id}));
        }
        auto fetch = [&]() -> awaitable<void> {
            other.discovery.onDigest(reader.announcement());
            co_await untilUpdates(other, 1);
        };
        runIn(context, fetch());
        for (const discovery_daemon *daemon : {&reader, &other}) {
            CHECK(daemon->discovery.replicas().size() >= 21);
            for (const auto &[id, entry] : daemon->discovery.replicas())
                CHECK(entry.address.port == 80);
        }
    }

    // Guards against reads that grow with the number of replicas, whatever changes.
    TEST_CASE("a daemon that has a copy reads what changed since")
    {
        constexpr int entries = 1000;
        constexpr int polls = 40;
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon daemon(context, rows, "reader");
        for (int i = 0; i < entries; ++i)
            put(rows, "i-" + std::to_string(i), entryText(4));
        const auto poll = [&] {
            auto wait = []() -> awaitable<void> { co_await sleepFor(milliseconds(600)); };
            runInSteps(context, wait(), milliseconds(100));
        };
        spawn(context.get_executor(), "follow", daemon.discovery.follow());
        poll();
        REQUIRE(daemon.discovery.replicas().size() == entries);
        CHECK(daemon.inner.rowsRead == entries);

        SUBCASE("and takes in only that")
        {
            for (int i = 0; i < polls; ++i) {
                put(rows, "i-7", entryText(4 + i));
                poll();
            }
            poll();
            CHECK(daemon.discovery.replicas().at({"i-7"}).slots == 4 + polls - 1);
            // A few reads are of all rows, to detect a copy that is wrong.
            CHECK(daemon.inner.rowsRead < 6 * entries);
        }
        SUBCASE("and of one that is gone")
        {
            store_transaction t;
            t.removals.push_back({"servers", "", "i-7"});
            REQUIRE(rows.apply(t));
            for (int i = 0; i < 3; ++i)
                poll();
            CHECK(daemon.discovery.replicas().size() == entries - 1);
        }
        SUBCASE("or all rows when the store has forgotten that")
        {
            daemon.inner.isHistoryGone = true;
            put(rows, "i-7", entryText(6));
            for (int i = 0; i < 3; ++i)
                poll();
            CHECK(daemon.discovery.replicas().at({"i-7"}).slots == 6);
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
                daemons.back()->discovery.setDaemonCount(std::size_t(size));
                spawn(context.get_executor(), "follow", daemons.back()->discovery.follow());
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

    // Guards against a daemon that is kept busy serving the full table.
    TEST_CASE("the whole table is handed out now and then only")
    {
        const paused_clock pause;
        row_store rows;
        asio::io_context context;
        discovery_daemon reader(context, rows, "reader");
        for (int i = 0; i < 200; ++i)
            put(rows, "i-" + std::to_string(i), entryText(4));
        auto body = [&]() -> awaitable<void> {
            spawn(context.get_executor(), "follow", reader.discovery.follow());
            co_await untilUpdates(reader, 1);
        };
        runIn(context, body());
        http_request whole;
        whole.target = "/inner/replicas?after=0";
        CHECK(reader.discovery.serveChanges(whole).status == 200);
        CHECK(reader.discovery.serveChanges(whole).status == 503);
        runtime_clock::advance(seconds(1));
        CHECK(reader.discovery.serveChanges(whole).status == 200);
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
        CHECK(daemon.discovery.serveChanges(request).status == 400);
        request.target = "/inner/replicas?after=3";
        CHECK(daemon.discovery.serveChanges(request).status == 503);
    }
}

} // namespace azurehill::test
