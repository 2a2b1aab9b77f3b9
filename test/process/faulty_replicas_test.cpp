#include "process/client_crowd.h"
#include "process/faulty_replica.h"
#include "process/limited_daemon.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace azurehill::process_test {

namespace {

constexpr int crowdSize = 200;
constexpr std::size_t kibibyte = 1024;

const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                               "X-Azurehill-Server-Stamp: s\r\n";
const std::string chunkedHead = answerHead + "Transfer-Encoding: chunked\r\n";
const std::string streamHead = chunkedHead + "Content-Type: text/event-stream\r\n\r\n";

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes + text.size());
    while (result.size() < bytes)
        result += text;
    return result;
}

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

client_script requestFor(const std::string &path)
{
    client_script script;
    script.start = fmt::format("GET {}<number> HTTP/1.1\r\nHost: h.example\r\n"
                               "X-Azurehill-Request-Id: c<number>\r\n\r\n",
                               path);
    return script;
}

/// \brief Lets a replica answer a crowd of requests, and checks the daemon between them.
void checkAnswers(const std::string &path, faulty_answer answer)
{
    const faulty_replica replica(std::move(answer));
    limited_daemon daemon(smallHost(), replica.port());
    {
        const client_crowd crowd(daemon.clientPort(), crowdSize, requestFor(path));
        crowd.waitUntilSettled();
        REQUIRE(holdsWithin(testTimeout, [&] { return replica.arrived() > 0; }));
        replica.waitUntilSettled();
        CHECK(daemon.isServing());
        CHECK(get(daemon.clientPort(), "/t/x").body == "id: 1\ndata: e\n\n");
    }
    CHECK(daemon.isServing());
    daemon.checkLimits();
}

/// \brief Does so on a plain route, and on those of streams: plain ones, those that may be resumed,
/// and turns that are kept.
void checkRoutes(const faulty_answer &answer)
{
    for (const char *path : {"/f/plain/", "/f/stream/", "/f/resumable/", "/f/kept/"}) {
        CAPTURE(std::string(path));
        checkAnswers(path, answer);
    }
}

} // namespace

TEST_SUITE("replicas whose bytes have no end")
{
    // Guards against a process that runs out of memory on events that do not end.
    TEST_CASE("events without end share the memory of their connections")
    {
        const std::string data = repeated("x", 64 * kibibyte);
        constexpr int parts = 14;
        SUBCASE("a data field")
        {
            checkRoutes({streamHead + chunk("data: "), chunk(data), parts});
        }
        SUBCASE("data fields")
        {
            checkRoutes({streamHead, chunk("data: " + data + "\n"), parts});
        }
        SUBCASE("an id")
        {
            checkRoutes({streamHead + chunk("data: x\nid: "), chunk(data), parts});
        }
        SUBCASE("whole events")
        {
            checkRoutes({streamHead, chunk("data: " + data + "\n\n"), parts});
        }
        SUBCASE("lines that are none")
        {
            checkRoutes({streamHead, chunk(repeated(": \n", 64 * kibibyte)), parts});
        }
    }

    // Guards against heads and lines between chunks that add up, each of them within its limit.
    TEST_CASE("heads and lines of the framing share the memory of their connections")
    {
        const std::string path = "/f/plain/";

        SUBCASE("heads of many fields, without their end")
        {
            checkAnswers(path, {answerHead, repeated("a:\r\n", 15 * kibibyte), 4});
        }
        SUBCASE("heads of many fields")
        {
            checkAnswers(path, {chunkedHead + repeated("a:\r\n", 60 * kibibyte) + "\r\n"});
        }
        SUBCASE("heads of many fields, of streams")
        {
            checkAnswers("/f/stream/", {chunkedHead + repeated("a:\r\n", 60 * kibibyte) + "\r\n"});
        }
        SUBCASE("heads of one long field, without its end")
        {
            checkAnswers(path, {answerHead + "a: ", repeated("x", 15 * kibibyte), 4});
        }
        SUBCASE("heads of one long field")
        {
            checkAnswers(path, {chunkedHead + "a: " + repeated("x", 60 * kibibyte) + "\r\n\r\n"});
        }
        SUBCASE("chunk extensions")
        {
            checkAnswers(path, {chunkedHead + "\r\n5;a=", repeated("x", 15 * kibibyte), 8});
        }
        SUBCASE("trailers")
        {
            checkAnswers(path, {chunkedHead + "\r\n0\r\n", repeated("a:\r\n", 15 * kibibyte), 8});
        }
    }

    // Guards against bodies that add up while their ends are awaited.
    TEST_CASE("plain bodies without end share the memory of their connections")
    {
        const std::string data = repeated("x", 15 * kibibyte);
        checkAnswers("/f/plain/", {chunkedHead + "\r\n", chunk(data), 16});
    }
}

} // namespace azurehill::process_test
