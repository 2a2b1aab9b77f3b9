#include "entry/replica_discovery.h"
#include "loopback.h"
#include "platform/platform_store.h"
#include "standin/store_standin.h"

#include <doctest/doctest.h>

#include <memory>

namespace azurehill::test {

namespace {

constexpr duration drainTime = seconds(3);
/// Name of the daemon, which seeds its random numbers: with this one, it reads all entries only
/// once within the drain time, and after that the changes.
constexpr const char *readerName = "reader-1";
/// Number of entries: three pages of 500.
constexpr int entryCount = 1200;

std::string entryText(const std::string &state)
{
    return R"({"service":"model","address":"10.0.0.7:80","zone":"z","slots":4,"state":")" + state
        + R"(","seq_no":1,"born":5})";
}

std::string nameOf(int entry)
{
    return "i-" + std::to_string(10'000 + entry);
}

/// \brief A daemon that reads the replica table from the stand-in of the store.
struct reading_daemon
{
    reading_daemon(asio::io_context &context, std::uint16_t storePort)
        : transport(std::make_shared<peer_transport>(context.get_executor(),
                                                     endpoint{"127.0.0.1", storePort})),
          client(transport), discovery(context.get_executor(), client, transport, {readerName}, {},
                                       [](const std::vector<replica_entry> &) {})
    {
        discovery.setDrainTime(drainTime);
        discovery.onOutdated([this](bool isOutdated) { reports.push_back(isOutdated); });
    }

    /// \brief Makes calls that do not concern the replica table. Runs until the test ends.
    awaitable<void> callStore()
    {
        while (true) {
            row_range range{"other", "", "a", "b"};
            const time_point deadline = runtime_clock::now() + seconds(1);
            static_cast<void>(co_await client.read(std::move(range), deadline));
            co_await sleepFor(milliseconds(300));
        }
    }

    std::shared_ptr<peer_transport> transport;
    platform_store client;
    replica_discovery discovery;
    /// What was reported to the callback for outdated copies.
    std::vector<bool> reports;
};

/// \brief A store with entries of which some change between the pages of a read.
struct changing_store
{
    explicit changing_store(asio::io_context &context) : standin(context.get_executor(), rows)
    {
        for (int i = 0; i < entryCount; ++i)
            put(i, "ready");
        standin.nextTrouble = [this](std::string_view path) {
            if (path == "/azurehill/rows-get" && ++pages == 2 && betweenPages)
                betweenPages();
            const bool isSilent = path == "/azurehill/rows-feed" && silentFeedCalls > 0;
            silentFeedCalls -= isSilent ? 1 : 0;
            return isSilent ? store_trouble::Silent : store_trouble::None;
        };
    }

    void put(int entry, const std::string &state)
    {
        store_transaction t;
        t.writes.push_back({{"servers", "", nameOf(entry)}, entryText(state)});
        REQUIRE(rows.apply(t));
    }

    void remove(int entry)
    {
        store_transaction t;
        t.removals.push_back({"servers", "", nameOf(entry)});
        REQUIRE(rows.apply(t));
    }

    row_store rows;
    store_standin standin;
    int pages = 0;
    /// Number of further reads of changes that get no answer.
    int silentFeedCalls = 0;
    /// Called when the second page is requested.
    std::function<void()> betweenPages;
};

} // namespace

TEST_SUITE("paged reads of replicas' entries")
{
    // Guards against a copy that claims a version whose changes it does not contain. A read took
    // the version of its last page, so a change between the pages was missing in it, no later read
    // of changes returned it, and the daemon continued to send to a replica that was leaving.
    TEST_CASE("a change between the pages of a read is known within the drain time")
    {
        const paused_clock pause;
        asio::io_context context;
        changing_store store(context);
        reading_daemon daemon(context, store.standin.listen());
        const auto follow = [&] {
            auto wait = []() -> awaitable<void> { co_await sleepFor(drainTime); };
            spawn(context.get_executor(), "follow", daemon.discovery.follow());
            runInSteps(context, wait(), milliseconds(20));
        };

        SUBCASE("a replica of the first page leaves")
        {
            store.betweenPages = [&] { store.put(0, "draining"); };
            follow();
            REQUIRE(daemon.discovery.replicas().size() == entryCount);
            CHECK(daemon.discovery.replicas().at({nameOf(0)}).draining);
        }
        SUBCASE("an entry of the first page is removed")
        {
            store.betweenPages = [&] { store.remove(0); };
            follow();
            CHECK(daemon.discovery.replicas().size() == entryCount - 1);
        }
        SUBCASE("a replica of the last page leaves")
        {
            store.betweenPages = [&] { store.put(entryCount - 1, "draining"); };
            follow();
            REQUIRE(daemon.discovery.replicas().size() == entryCount);
            CHECK(daemon.discovery.replicas().at({nameOf(entryCount - 1)}).draining);
        }
    }

    TEST_CASE("reads of changes that get no answer don't make a daemon send to a leaving replica")
    {
        const paused_clock pause;
        asio::io_context context;
        changing_store store(context);
        reading_daemon daemon(context, store.standin.listen());
        // More daemons than readers, so that this one reads because its copy is too old.
        daemon.discovery.setDaemonCount(100'000);
        const auto wait = [&](duration time) {
            auto body = [time]() -> awaitable<void> { co_await sleepFor(time); };
            runInSteps(context, body(), milliseconds(20));
        };
        const auto isDraining
            = [&] { return daemon.discovery.replicas().at({nameOf(7)}).draining; };
        spawn(context.get_executor(), "follow", daemon.discovery.follow());
        spawn(context.get_executor(), "callStore", daemon.callStore());
        while (!daemon.discovery.hasReplicas())
            wait(milliseconds(20));

        // Guards against a poll that waits for its answer and delays the next read. Two polls in a
        // row took a second each, so the third one began after the drain time.
        SUBCASE("two are lost, and the next one is in time")
        {
            store.silentFeedCalls = 2;
            store.put(7, "draining");
            wait(drainTime);
            CHECK(isDraining());
            CHECK(daemon.reports.empty());
        }
        // Guards against a daemon that sends by a copy older than the drain time while the store
        // answers its other calls.
        SUBCASE("all are lost, and the copy counts as outdated until one is answered")
        {
            store.silentFeedCalls = 1000;
            store.put(7, "draining");
            wait(drainTime - milliseconds(200));
            CHECK((isDraining() || daemon.discovery.isOutdated()));
            CHECK(daemon.reports == std::vector<bool>{true});
            store.silentFeedCalls = 0;
            wait(seconds(2));
            CHECK(isDraining());
            CHECK_FALSE(daemon.discovery.isOutdated());
            CHECK(daemon.reports == std::vector<bool>{true, false});
        }
    }
}

} // namespace azurehill::test
