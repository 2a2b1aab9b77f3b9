#include "core/log_line.h"
#include "core/log_sink.h"
#include "explain/log_story.h"

#include <doctest/doctest.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace azurehill {

namespace {

parsed_log parseFixture(const std::string &file)
{
    std::string path = AZUREHILL_FIXTURES "/";
    path += file;
    std::ifstream in(path);
    REQUIRE(in);
    parsed_log lines;
    readLog(in, file, lines);
    return lines;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("log story")
{
    TEST_CASE("logs of a real run tell why a request failed")
    {
        SUBCASE("a program that ended in an outage of the store")
        {
            const std::string story = formatTimeline(parseFixture("outage.log"), "5ea74769f1b4f");
            CHECK(contains(story, "detail=store_unavailable"));
            CHECK(contains(story, "retry_after_ms=2000"));
            CHECK(contains(story, "  store_lost detail=status 503"));
            CHECK_FALSE(contains(story, "missing"));
        }
        SUBCASE("a tool call whose answer was lost")
        {
            const std::string story
                = formatTimeline(parseFixture("lost_answer.log"), "8f4764d5fa8590e3");
            CHECK(contains(story, "end=broken"));
            CHECK(contains(story, "detail=Connection reset by peer"));
            CHECK(contains(story, "replica=i-a0b71a8d9c"));
        }
        SUBCASE("a program that ended on its budget")
        {
            CHECK(contains(formatTimeline(parseFixture("budget.log"), "fc70975567eaa1"),
                           "tokens_held"));
        }
    }

    TEST_CASE("a request that was refused since replicas ended under its earlier attempts")
    {
        std::istringstream in(
            "1 host-2 "
            "{\"time\":\"1\",\"event\":\"send_lost\",\"fingerprint\":\"f\",\"fate\":\"ended\"}\n"
            "2 host-2 "
            "{\"time\":\"2\",\"event\":\"send_lost\",\"fingerprint\":\"g\",\"fate\":\"ended\"}\n"
            "3 host-1 "
            "{\"time\":\"3\",\"event\":\"own_answer\",\"request\":\"r\",\"fingerprint\":\"f\"}\n");
        parsed_log lines;
        readLog(in, "file", lines);
        const std::string story = formatTimeline(lines, "r");
        CHECK(contains(story, "host-2"));
        CHECK_FALSE(contains(story, "fingerprint=g"));
        CHECK(contains(formatTimeline(lines, "f"), "own_answer"));
    }

    TEST_CASE("what is missing is said")
    {
        std::istringstream in(
            "0.1 host-1 {\"time\":\"1\",\"event\":\"sent\",\"request\":\"r\",\"replica\":\"i\"}\n"
            "0.2 host-1 {\"time\":\"2\",\"event\":\"replica_doubted\",\"replica\":\"i\"}\n"
            "0.0 host-2 {\"time\":\"2\",\"event\":\"replica_doubted\",\"replica\":\"i\"}\n"
            "not a log line\n"
            "{\"time\":\"1\", broken\n"
            "\n");
        parsed_log lines;
        readLog(in, "file", lines);
        CHECK(lines.unparsedLines == 2);
        const std::string story = formatTimeline(lines, "r");
        CHECK(contains(story, "2 lines could not be read"));
        CHECK(contains(story, "missing: r was sent, and no line tells how that ended"));
        CHECK(contains(story, "missing: no line tells how r was answered"));
        CHECK_FALSE(contains(story, "host-2"));
        CHECK(contains(formatTimeline(lines, "other"), "no line names other"));
    }
}

TEST_SUITE("log")
{
    TEST_CASE("every event is explained on the page of the logs")
    {
        std::ifstream page(AZUREHILL_DOCS "/LOGS.md");
        REQUIRE(page);
        std::stringstream text;
        text << page.rdbuf();
        for (const std::string_view name : enum_names<log_event>::names) {
            INFO(name);
            CHECK(contains(text.str(), "| `" + std::string(name) + "` |"));
        }
    }

    TEST_CASE("a reader that stands still costs lines, not requests")
    {
        // Guards against threads that block on a write to the log: all programs on a host stalled
        // when its log collector had stopped reading.
        int ends[2];
        REQUIRE(::pipe(ends) == 0);
        log_limits limits;
        limits.maxPendingBytes = 64U << 10U;
        limits.maxInfoPerSecond = 1'000'000;
        limits.maxWarningsPerSecond = 1'000'000;
        log_sink sink(ends[1], limits);
        std::thread writer([&] { sink.run(); });
        const std::string line(1000, 'x');
        for (int i = 0; i < 2000; ++i)
            sink.append(log_event::Sent, line + "\n", 1000);
        CHECK(sink.dropped() > 0);

        SUBCASE("and once it reads again, it is told what it missed")
        {
            std::string all;
            const auto readSome = [&] {
                char buffer[4096];
                const ssize_t n = ::read(ends[0], buffer, sizeof buffer);
                if (n > 0)
                    all.append(buffer, std::size_t(n));
            };
            while (all.size() < 30'000)
                readSome();
            sink.append(log_event::LocalReply, "later\n", 5000);
            while (!contains(all, "later"))
                readSome();
            CHECK(contains(all, "log_dropped"));
        }
        ::close(ends[0]);
        signal(SIGPIPE, SIG_IGN);
        CHECK(sink.stop(seconds(30)));
        writer.join();
        ::close(ends[1]);
    }

    TEST_CASE("lines of one event are bounded, those of failures more generously")
    {
        log_limits limits;
        limits.maxInfoPerSecond = 10;
        limits.maxWarningsPerSecond = 50;
        log_sink sink(STDERR_FILENO, limits);
        int admitted = 0;
        const auto admitLines = [&](log_event event, int lines, std::int64_t nowMs) {
            admitted = 0;
            for (int i = 0; i < lines; ++i)
                admitted += sink.admits(event, nowMs) ? 1 : 0;
        };
        admitLines(log_event::Sent, 20, 1000);
        CHECK(admitted == 10);
        CHECK(sink.dropped() == 10);
        admitLines(log_event::LocalReply, 60, 1000);
        CHECK(admitted == 50);
        CHECK(sink.dropped() == 20);
        admitLines(log_event::Sent, 1, 2000);
        CHECK(admitted == 1);
        CHECK(sink.dropped() == 20);
    }
}

} // namespace azurehill
