#include "process/client_crowd.h"
#include "process/cluster.h"
#include "process/limited_daemon.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>

namespace azurehill::process_test {

namespace {

constexpr std::size_t megabyte = 1'000'000;

constexpr const char *chunkedHead
    = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Azurehill-Request-Id: c1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";

std::string postHead(std::string_view path, std::size_t bodyBytes)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Azurehill-Request-Id: c1\r\n"
                       "Content-Length: {}\r\n\r\n",
                       path, bodyBytes);
}

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes + text.size());
    while (result.size() < bytes)
        result += text;
    return result;
}

/// \brief Lets a crowd play its script to its end, and checks the daemon while the crowd is
/// connected and after it has left.
void checkCrowd(limited_daemon &daemon, std::uint16_t port, int size, client_script script)
{
    {
        const client_crowd crowd(port, size, std::move(script));
        crowd.waitUntilSettled();
        CHECK(daemon.isServing());
    }
    CHECK(daemon.isServing());
    CHECK(daemon.isAnsweringLookups());
    daemon.checkLimits();
}

} // namespace

TEST_SUITE("clients that misbehave")
{
    // Guards against a process that runs out of memory on bytes that end no chunk and no trailer.
    TEST_CASE("a chunked body whose lines do not end is not kept")
    {
        limited_daemon daemon(smallHost());
        client_script script;
        script.start = chunkedHead;
        constexpr int crowd = 8;
        script.repeats = 30;

        SUBCASE("a trailer field after the other")
        {
            script.start += "0\r\n";
            script.block = repeated("a: b\r\n", megabyte);
        }
        SUBCASE("one trailer line")
        {
            script.start += "0\r\na: ";
            script.block = repeated("b", megabyte);
        }
        SUBCASE("one chunk extension")
        {
            script.start += "5;a=";
            script.block = repeated("b", megabyte);
        }
        SUBCASE("one chunk size of zeros")
        {
            script.block = repeated("0", megabyte);
        }
        checkCrowd(daemon, daemon.clientPort(), crowd, std::move(script));
    }

    // Guards against a process that runs out of memory, and stands still, on a trailer of many
    // fields.
    TEST_CASE("a trailer of a million fields is not parsed")
    {
        limited_daemon daemon(smallHost());
        client_script script;
        script.start = std::string(chunkedHead) + "0\r\n";
        script.block = repeated("a:\r\n", megabyte);
        script.repeats = 4;
        script.end = "\r\n";
        script.awaitsAnswer = true;
        checkCrowd(daemon, daemon.clientPort(), 4, std::move(script));
    }

    // Guards against requests that add up to more than the process may hold, each of them within
    // its limits.
    TEST_CASE("requests that are not complete share the memory for clients")
    {
        limited_daemon daemon(smallHost());
        client_script script;

        SUBCASE("small bodies without their last byte")
        {
            constexpr std::size_t bodyBytes = 65'000;
            script.start = postHead("/a/x", bodyBytes) + std::string(bodyBytes - 1, 'x');
            checkCrowd(daemon, daemon.clientPort(), 1000, std::move(script));
        }
        SUBCASE("chunked bodies without their last chunk")
        {
            script.start = std::string(chunkedHead) + "fa00\r\n" + std::string(0xfa00, 'x');
            checkCrowd(daemon, daemon.clientPort(), 1000, std::move(script));
        }
        SUBCASE("large bodies without their last byte")
        {
            constexpr std::size_t bodyBytes = 4U << 20U;
            script.start = postHead("/a/x", bodyBytes) + std::string(bodyBytes - 1, 'x');
            checkCrowd(daemon, daemon.clientPort(), 40, std::move(script));
        }
        SUBCASE("heads of many fields")
        {
            script.start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\n" + repeated("a:\r\n", 15'600);
            checkCrowd(daemon, daemon.clientPort(), 500, std::move(script));
        }
        SUBCASE("heads of one long field")
        {
            script.start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\na: " + std::string(15'000, 'x');
            checkCrowd(daemon, daemon.clientPort(), 2500, std::move(script));
        }
    }

    // Guards against requests that wait for a replica and hold several copies of their bodies
    // meanwhile.
    TEST_CASE("complete requests that wait share the memory for clients")
    {
        limited_daemon daemon(smallHost());
        client_script script;

        SUBCASE("with small bodies")
        {
            constexpr std::size_t bodyBytes = 60'000;
            script.start = postHead("/a/x", bodyBytes) + std::string(bodyBytes, 'x');
        }
        SUBCASE("with many fields")
        {
            script.start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Azurehill-Request-Id: c1\r\n"
                + repeated("a:\r\n", 15'600) + "\r\n";
        }
        daemon.fixture.mayAnswer = false;
        {
            const client_crowd crowd(daemon.clientPort(), 400, script);
            crowd.waitUntilSettled();
            daemon.fixture.mayAnswer = true;
            CHECK(daemon.isServing());
        }
        CHECK(daemon.isServing());
        daemon.checkLimits();
    }

    // Guards against bytes that the kernel keeps for a process that does not read them.
    TEST_CASE("requests sent ahead of an answer are not taken without bound")
    {
        limited_daemon daemon(smallHost());
        daemon.fixture.mayAnswer = false;
        client_script script;
        script.start = postHead("/a/x", 0);
        script.block = repeated(postHead("/a/x", 0), megabyte);
        script.repeats = 8;
        {
            const client_crowd crowd(daemon.clientPort(), 1200, std::move(script));
            crowd.waitUntilSettled();
            daemon.fixture.mayAnswer = true;
            CHECK(daemon.isServing());
        }
        CHECK(daemon.isServing());
        daemon.checkLimits();
    }

    // Guards against answers that add up while their clients do not read.
    TEST_CASE("answers that nobody reads share the memory for clients")
    {
        limited_daemon daemon(smallHost());
        client_script script;
        script.start = "GET /a/large HTTP/1.1\r\nHost: h.example\r\n"
                       "X-Azurehill-Request-Id: c1\r\n\r\n";
        script.block = script.start;
        script.repeats = 40;
        script.readsAnswers = false;
        {
            const client_crowd crowd(daemon.clientPort(), 400, std::move(script));
            crowd.waitUntilSettled();
            daemon.waitUntilReplicaIsIdle();
            CHECK(daemon.isServing());
        }
        CHECK(daemon.isServing());
        daemon.checkLimits();
    }

    // Guards against clients that occupy all connections and ask nothing.
    TEST_CASE("connections that ask nothing make way for others")
    {
        limited_daemon daemon(smallHost());
        client_script script;
        constexpr int crowd = 5000;

        SUBCASE("idle from the start") { }
        SUBCASE("in the middle of a head")
        {
            script.start = "GET /a/x HTT";
        }
        SUBCASE("idle after a request")
        {
            script.start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Azurehill-Request-Id: c1\r\n\r\n";
        }
        checkCrowd(daemon, daemon.clientPort(), crowd, std::move(script));
    }

    // Guards against a port beside the clients' one through which the process can be exhausted.
    TEST_CASE("the other ports keep to the limits of the process")
    {
        SUBCASE("bodies")
        {
            limited_daemon daemon(smallHost());
            client_script script;
            constexpr std::size_t bodyBytes = 4U << 20U;
            script.start
                = postHead("/azurehill/resolve", bodyBytes) + std::string(bodyBytes - 1, 'x');
            const auto ports = daemon.fixture.ports();
            for (const std::uint16_t port : {ports[1], ports[2], ports[3], metricsPort})
                checkCrowd(daemon, port, 25, script);
        }
        SUBCASE("connections")
        {
            entry_settings settings = smallHost();
            settings.fileDescriptors = 1000;
            limited_daemon daemon(settings);
            const auto ports = daemon.fixture.ports();
            for (const std::uint16_t port : {ports[1], ports[2], ports[3], metricsPort})
                checkCrowd(daemon, port, 1200, {});
        }
    }

    // Guards against limits that are those of the start for good.
    TEST_CASE("the limits follow the settings of a process that runs")
    {
        limited_daemon daemon({8, 256, 4100});
        daemon.fixture.writeSettings(smallHost());
        daemon.entry.signal(SIGHUP);
        REQUIRE(holdsWithin(testTimeout, [&] {
            return daemon.entry.log().find(R"("event":"reloaded")") != std::string::npos;
        }));
        client_script script;
        script.start = "GET /a/x HTTP/1.1\r\nHost: h.example\r\n" + repeated("a:\r\n", 15'600);
        const client_crowd crowd(daemon.clientPort(), 500, std::move(script));
        crowd.waitUntilSettled();
        CHECK(daemon.isServing());
        daemon.checkLimits(smallHost());
    }

    // Guards against a program that costs memory for its retention time, whoever makes it up.
    TEST_CASE("programs that are made up one after another share the memory for state")
    {
        entry_settings settings = smallHost();
        settings.memoryMegabytes = 24;
        limited_daemon daemon(settings);
        const auto requestAt = [](int i) {
            return fmt::format("POST /t/x HTTP/1.1\r\nHost: h.example\r\n"
                               "X-Azurehill-Request-Id: r{}\r\nX-Azurehill-Program-Id: {:060}\r\n"
                               "X-Azurehill-Token-Budget: 100\r\nX-Azurehill-Token-Usage: 1,1\r\n"
                               "Content-Length: 0\r\n\r\n",
                               i, i);
        };
        CHECK(sendInTurn(daemon.clientPort(), 40, 24'000, requestAt) > 0);
        CHECK(daemon.isServing());
        daemon.checkLimits();
    }

    // Guards against a daemon of the product's own interface that runs out of memory.
    TEST_CASE("azurehilld does not keep a trailer without end")
    {
        constexpr std::int64_t memoryBound = 256LL << 20U;
        cluster_options options;
        options.daemons = 1;
        cluster system(options);
        const std::string name = system.daemons().front();
        system.waitServing({name});
        const resource_watch watch(system.process(name).pid());
        client_script script;
        script.start = std::string(chunkedHead) + "0\r\n";
        script.block = repeated("a: b\r\n", megabyte);
        script.repeats = 60;
        {
            const client_crowd crowd(system.address(name).port, 8, std::move(script));
            crowd.waitUntilSettled();
            CHECK_FALSE(system.createProgram(name).value.empty());
        }
        CHECK_FALSE(system.process(name).exitStatus());
        CHECK(watch.peakMemory() <= memoryBound);
    }

    // Guards against a stop that waits for clients who never finish.
    TEST_CASE("a stop ends in its grace time while such clients are connected")
    {
        limited_daemon daemon(smallHost());
        client_script script;
        SUBCASE("idle") { }
        SUBCASE("in the middle of a head")
        {
            script.start = "GET /a/x HTT";
        }
        SUBCASE("in the middle of a trailer")
        {
            script.start = std::string(chunkedHead) + "0\r\na: b\r\n";
        }
        const client_crowd crowd(daemon.clientPort(), 500, std::move(script));
        crowd.waitUntilSettled();
        daemon.entry.signal(SIGTERM);
        CHECK(holdsWithin(testTimeout, [&] { return daemon.entry.exitStatus().has_value(); }));
        CHECK(daemon.entry.exitStatus() == 0);
    }

    // Guards against a mend that refuses what the limits allow.
    TEST_CASE("one request at every limit is served in calm")
    {
        limited_daemon daemon(smallHost());
        constexpr std::size_t bodyBytes = 4U << 20U;
        http_request request;
        request.method = "POST";
        request.target = "/a/x";
        request.headers.add("Host", "h.example");
        request.headers.add("X-Azurehill-Request-Id", "r1");

        SUBCASE("the largest body")
        {
            request.body = std::string(bodyBytes, 'x');
        }
        SUBCASE("the largest header")
        {
            request.headers.add("X-Long", std::string(16'000, 'x'));
        }
        SUBCASE("the most fields")
        {
            for (int i = 0; i < 3200; ++i)
                request.headers.add("a", "");
        }
        SUBCASE("all of them")
        {
            for (int i = 0; i < 3200; ++i)
                request.headers.add("a", "");
            request.body = std::string(bodyBytes, 'x');
        }
        for (int i = 0; i < 3; ++i)
            CHECK(exchangeWith(daemon.clientPort(), request).body == "whole");
        daemon.checkLimits();
    }
}

} // namespace azurehill::process_test
