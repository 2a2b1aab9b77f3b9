#include "process/platform_fixture.h"

#include <doctest/doctest.h>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds testTimeout(20'000);

/// \returns how long the stop of \p entry took by its log, in milliseconds.
int stopTimeOf(const child &entry)
{
    const std::string log = entry.log();
    const std::size_t stopped = log.find(R"("event":"stopped")");
    REQUIRE(stopped != std::string::npos);
    const std::string_view key = R"("ms":)";
    return std::stoi(log.substr(log.find(key, stopped) + key.size()));
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
            fixture.writeSettings({9});
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
            fixture.writeSettings({graceSeconds});
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
        fixture.writeSettings({graceSeconds});
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
