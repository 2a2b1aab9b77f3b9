#include "http/http.h"
#include "process/child.h"
#include "runtime/runtime.h"
#include "standin/store_standin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds testTimeout(20'000);

constexpr const char *configuration = R"({"version":7,"routes":[
  {"name":"r","hostname":"h.example","prefix":"/a/","route_type":"idempotent","timeout_ms":20000,
   "service":"tools","max_attempts":2}],
  "services":[{"name":"tools","max_connections":10}],"limits":{}})";

/// \brief Test fixture: a store and a replica on a thread of their own, for one azurehill-entry.
class platform_fixture
{
public:
    platform_fixture()
        : m_store(m_context.get_executor(), m_rows),
          m_replica(
              m_context.get_executor(), {},
              [this](const http_request &r, response_writer &w) { return answerRequest(r, w); })
    {
        const std::uint16_t port = m_replica.listen({"127.0.0.1", 0});
        m_address = fmt::format("127.0.0.1:{}", port);
        m_store.nextTrouble = [this](std::string_view) {
            return isStoreSilent ? store_trouble::Silent : store_trouble::None;
        };
        writeRow({"op", "", "config"}, configuration);
        writeReplica("ready", bornFirst, 1);
        writeSettings(8);
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~platform_fixture()
    {
        m_context.stop();
        m_thread.join();
    }
    platform_fixture(const platform_fixture &) = delete;
    platform_fixture &operator=(const platform_fixture &) = delete;

    void writeSettings(int graceSeconds)
    {
        if (m_storePort == 0)
            m_storePort = m_store.listen();
        std::ofstream file(settingsPath());
        file << fmt::format("node_name = 'e'\nip = '127.0.0.1'\nzone = 'z'\nport_range = [0, 0]\n"
                            "[listen]\nfront = '127.0.0.1:0'\nready = '127.0.0.1:0'\n"
                            "control = '127.0.0.1:0'\ndirectory = '127.0.0.1:0'\n"
                            "[bounds]\ngrace_s = {}\n[provider]\naddress = '127.0.0.1:{}'\n",
                            graceSeconds, m_storePort);
    }

    std::string settingsPath() const { return folder.path() + "/settings.toml"; }

    child startEntry() const
    {
        setenv("AZUREHILL_SETTINGS", settingsPath().c_str(), 1);
        child entry("entry", AZUREHILL_BINARIES "/azurehill-entry", {}, folder.path());
        unsetenv("AZUREHILL_SETTINGS");
        return entry;
    }

    /// \brief Writes the replica's entry as a process that started at \p born would.
    void writeReplica(const std::string &state, std::int64_t born, int sequence)
    {
        writeRow({"servers", "", "i-1"},
                 fmt::format(R"({{"service":"tools","address":"{}","zone":"z","slots":4,)"
                             R"("state":"{}","seq_no":{},"born":{}}})",
                             m_address, state, sequence, born));
    }

    /// \brief Writes a row, on the store's thread once that runs.
    void writeRow(const row_name &name, const std::string &value)
    {
        store_transaction t;
        t.writes.push_back({name, value});
        if (!m_thread.joinable()) {
            static_cast<void>(m_rows.apply(t));
            return;
        }
        asio::post(m_context, [this, t] { static_cast<void>(m_rows.apply(t)); });
    }

    /// \returns the ports that the daemon wrote: clients, readiness, look-ups, peers.
    std::array<std::uint16_t, 4> ports() const
    {
        std::array<std::uint16_t, 4> all{};
        std::ifstream file(folder.path() + "/entry.port");
        for (std::uint16_t &port : all)
            file >> port;
        return all;
    }

    static constexpr std::int64_t bornFirst = 1'700'000'000'000;

    scratch_folder folder;
    /// Requests wait at the replica until this is set.
    std::atomic<bool> mayAnswer{true};
    std::atomic<int> arrived{0};
    /// Whether calls to the store get no answer.
    std::atomic<bool> isStoreSilent{false};

private:
    awaitable<void> answerRequest(const http_request &request, response_writer &writer)
    {
        ++arrived;
        while (!mayAnswer)
            co_await sleepFor(milliseconds(10));
        http_response response;
        response.headers.add("X-Azurehill-Request-Id",
                             request.headers.get("X-Azurehill-Request-Id"));
        response.headers.add("X-Azurehill-Server-Stamp", "s");
        response.body = "whole";
        co_await writer.write(std::move(response));
    }

    asio::io_context m_context;
    row_store m_rows;
    store_standin m_store;
    http_server m_replica;
    std::uint16_t m_storePort = 0;
    std::string m_address;
    std::thread m_thread;
};

/// \returns the answer to a request on a new connection; status 0 if there is none.
http_response get(std::uint16_t port, const std::string &target)
{
    asio::io_context context;
    http_response answer;
    answer.status = 0;
    auto go = [&]() -> awaitable<void> {
        http_request request;
        request.target = target;
        request.headers.add("Host", "h.example");
        request.headers.add("X-Azurehill-Request-Id", "r1");
        endpoint peer{"127.0.0.1", port};
        const auto result = co_await exchangeOnce(std::move(peer), std::move(request),
                                                  runtime_clock::now() + testTimeout);
        if (result)
            answer = *result;
    };
    asio::co_spawn(context, go(), asio::detached);
    context.run();
    return answer;
}

/// \returns how long the stop of \p entry took by its log, in milliseconds.
int stopTimeOf(const child &entry)
{
    const std::string log = entry.log();
    const std::size_t stopped = log.find(R"("event":"stopped")");
    REQUIRE(stopped != std::string::npos);
    const std::string_view key = R"("ms":)";
    return std::stoi(log.substr(log.find(key, stopped) + key.size()));
}

bool isReady(const platform_fixture &fixture)
{
    const std::uint16_t port = fixture.ports()[1];
    return port != 0 && get(port, "/azurehill/ready").status == 200;
}

} // namespace

TEST_SUITE("azurehill-entry")
{
    TEST_CASE("it serves once it knows the configuration and the replicas")
    {
        platform_fixture fixture;
        child entry = fixture.startEntry();
        REQUIRE(holdsWithin(testTimeout, [&] { return isReady(fixture); }));
        const auto ports = fixture.ports();
        CHECK(get(ports[0], "/a/x").body == "whole");
        const std::string addresses
            = get(ports[2], "/azurehill/resolve?name=h.example&region=r&zone=z").body;
        CHECK(addresses.find("addresses") != std::string::npos);

        SUBCASE("SIGHUP takes over changed settings and does not end it")
        {
            // Guards against SIGHUP ending the process: the platform announces new settings by it,
            // and a roll-out ended the daemons of one host after the other.
            fixture.writeSettings(9);
            entry.signal(SIGHUP);
            CHECK(holdsWithin(testTimeout, [&] {
                return entry.log().find(R"("event":"reloaded")") != std::string::npos;
            }));
            CHECK_FALSE(entry.exitStatus());
            CHECK(get(ports[0], "/a/x").body == "whole");
        }

        SUBCASE("the grace time of a stop is the one of the latest settings")
        {
            // Guards against a daemon that is killed in the middle of its answers, as it goes by
            // the longer grace time with which it started.
            constexpr int graceSeconds = 1;
            fixture.writeSettings(graceSeconds);
            entry.signal(SIGHUP);
            REQUIRE(holdsWithin(testTimeout, [&] {
                return entry.log().find(R"("event":"reloaded")") != std::string::npos;
            }));
            fixture.mayAnswer = false;
            std::thread caller([&] { get(ports[0], "/a/slow"); });
            CHECK(holdsWithin(testTimeout, [&] { return fixture.arrived == 2; }));
            entry.signal(SIGTERM);
            CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
            fixture.mayAnswer = true;
            caller.join();
            CHECK(stopTimeOf(entry) < graceSeconds * 1000);
        }

        SUBCASE("a second SIGTERM and a SIGHUP during a stop change nothing")
        {
            // Guards against a stop that is cut short by further signals.
            fixture.mayAnswer = false;
            http_response answer;
            std::thread caller([&] { answer = get(ports[0], "/a/slow"); });
            CHECK(holdsWithin(testTimeout, [&] { return fixture.arrived == 2; }));
            entry.signal(SIGTERM);
            CHECK(holdsWithin(testTimeout, [&] { return !isReady(fixture); }));
            entry.signal(SIGHUP);
            entry.signal(SIGTERM);
            CHECK(holdsWithin(testTimeout, [&] {
                return entry.log().find(R"("event":"reloaded")") != std::string::npos;
            }));
            CHECK_FALSE(entry.exitStatus());
            fixture.mayAnswer = true;
            caller.join();
            CHECK(answer.body == "whole");
            CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
            CHECK(entry.exitStatus() == 0);
        }

        SUBCASE("SIGTERM takes it out of the readiness check, and cuts no answer off")
        {
            // Guards against an answer that is cut off because its host is restarted.
            fixture.mayAnswer = false;
            http_response answer;
            std::thread caller([&] { answer = get(ports[0], "/a/slow"); });
            CHECK(holdsWithin(testTimeout, [&] { return fixture.arrived == 2; }));
            entry.signal(SIGTERM);
            CHECK(holdsWithin(testTimeout, [&] { return !isReady(fixture); }));
            CHECK_FALSE(entry.exitStatus());
            // Its route allows it 20 s, the grace time 8.
            CHECK(get(ports[0], "/a/late").status == 503);
            CHECK(fixture.arrived == 2);
            fixture.mayAnswer = true;
            caller.join();
            CHECK(answer.body == "whole");
            CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
            CHECK(entry.exitStatus() == 0);
        }
    }

    TEST_CASE("SIGTERM while the store is silent ends it within its grace time")
    {
        // Guards against a shutdown that takes longer than the grace time. The daemon waited for
        // the removal of its row whatever the grace time: with a silent store it logged
        // "not_unregistered", "deadline passed" a second after SIGTERM, so with a grace time of a
        // second it was killed in the middle of its answers.
        platform_fixture fixture;
        constexpr int graceSeconds = 1;
        fixture.writeSettings(graceSeconds);
        child entry = fixture.startEntry();
        REQUIRE(holdsWithin(testTimeout, [&] { return isReady(fixture); }));
        fixture.isStoreSilent = true;
        entry.signal(SIGTERM);
        CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
        CHECK(entry.exitStatus() == 0);
        CHECK(entry.log().find("not_unregistered") != std::string::npos);
        CHECK(stopTimeOf(entry) < graceSeconds * 1000);
    }

    TEST_CASE("a replica that starts again under its id takes work again")
    {
        // Guards against a restarted replica that gets no requests: it drained, crashed and came
        // back under its id, and for the rest of the day the daemons still regarded it as leaving.
        platform_fixture fixture;
        child entry = fixture.startEntry();
        REQUIRE(holdsWithin(testTimeout, [&] { return isReady(fixture); }));
        const auto isServed = [&] { return get(fixture.ports()[0], "/a/x").body == "whole"; };
        REQUIRE(isServed());
        fixture.writeReplica("draining", platform_fixture::bornFirst, 2);
        REQUIRE(holdsWithin(testTimeout, [&] { return !isServed(); }));
        fixture.writeReplica("ready", platform_fixture::bornFirst + 5000, 1);
        CHECK(holdsWithin(testTimeout, isServed));

        SUBCASE("and a last word of its old process, written late, changes nothing")
        {
            fixture.writeReplica("draining", platform_fixture::bornFirst, 3);
            fixture.writeRow({"servers", "", "i-2"}, "not a replica");
            CHECK(holdsWithin(testTimeout, [&] {
                return entry.log().find("replica_row_unreadable") != std::string::npos;
            }));
            CHECK(isServed());
        }
    }

    TEST_CASE("a reader of the log that stands still costs no request")
    {
        // Guards against a daemon that blocks on its log: a log collector stopped reading, the pipe
        // filled up, and every daemon of the host stalled in the middle of its answers until the
        // collector was restarted.
        platform_fixture fixture;
        const std::string log = fixture.folder.path() + "/entry.log";
        constexpr mode_t ownerOnly = 0600;
        REQUIRE(mkfifo(log.c_str(), ownerOnly) == 0);
        const int unread = open(log.c_str(), O_RDWR | O_CLOEXEC);
        REQUIRE(unread >= 0);
        child entry = fixture.startEntry();
        REQUIRE(holdsWithin(testTimeout, [&] { return isReady(fixture); }));
        // Some 700 bytes of log per request: many times the capacity of the pipe, and more than the
        // log buffer.
        constexpr int requests = 2000;
        int whole = 0;
        while (whole < requests && get(fixture.ports()[0], "/a/x").body == "whole")
            ++whole;
        CHECK(whole == requests);
        entry.signal(SIGTERM);
        CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
        CHECK(entry.exitStatus() == 0);
        close(unread);
    }

    TEST_CASE("settings that can't be used are named, and it does not start")
    {
        platform_fixture fixture;
        std::ofstream(fixture.settingsPath()) << "ip = 3\n";
        child entry = fixture.startEntry();
        CHECK(holdsWithin(testTimeout, [&] { return entry.exitStatus().has_value(); }));
        CHECK(entry.exitStatus() == 2);
        CHECK(entry.log().find("node_name must be a text") != std::string::npos);
    }
}

} // namespace azurehill::process_test
