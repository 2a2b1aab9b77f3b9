#include "io/loopback.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace azurehill;
using namespace azurehill::test;

namespace {

/// \brief A server that echoes the body of each request.
class echo_server
{
public:
    explicit echo_server(http_limits limits)
        : server(context.get_executor(), limits,
                 [this](const http_request &r, response_writer &w) -> awaitable<void> {
                     ++requests;
                     if (onRequest)
                         onRequest();
                     if (r.path() == "/throws")
                         throw std::runtime_error("handler fault");
                     if (r.path() == "/stream" || r.path() == "/broken") {
                         co_await stream(w, r.path() == "/stream");
                         co_return;
                     }
                     http_response response = jsonResponse(200, r.body);
                     co_await w.write(std::move(response));
                 }),
          port(server.listen({"127.0.0.1", 0}))
    { }

    /// \param isReset set to whether the connection was reset, not ended in an orderly way.
    std::string exchange(const std::string &bytes, bool *isReset = nullptr)
    {
        std::string answer;
        auto body = [&]() -> awaitable<void> {
            raw_client client(context);
            co_await client.connect(port);
            co_await client.send(bytes);
            answer = co_await client.readToEnd();
            if (isReset)
                *isReset = client.endedBy() == asio::error::connection_reset;
        };
        runIn(context, body());
        return answer;
    }

    /// \brief Sends \p bytes and ends the sending side of the connection.
    std::string exchangeHalf(const std::string &bytes)
    {
        std::string answer;
        auto body = [&]() -> awaitable<void> {
            raw_client client(context);
            co_await client.connect(port);
            co_await client.send(bytes);
            client.socket().shutdown(asio::ip::tcp::socket::shutdown_send);
            answer = co_await client.readToEnd();
        };
        runIn(context, body());
        return answer;
    }

    /// \brief Waits until all connections are closed.
    void waitUntilAllClosed()
    {
        auto body = [&]() -> awaitable<void> {
            while (server.openConnections() > 0)
                co_await yieldOnce();
        };
        runIn(context, body());
    }

    asio::io_context context;
    /// Requests that reached the handler.
    int requests = 0;
    /// Called before a request is answered.
    std::function<void()> onRequest;
    http_server server;
    std::uint16_t port;

private:
    static awaitable<void> stream(response_writer &writer, bool isWhole)
    {
        header_list headers;
        co_await writer.begin(200, std::move(headers));
        co_await writer.writeChunk("first ");
        if (!isWhole)
            co_return;
        co_await writer.writeChunk("second");
        co_await writer.end();
    }
};

http_limits smallLimits()
{
    http_limits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBodyBytes = 2048;
    limits.idleTimeout = std::chrono::hours(1000);
    limits.requestTimeout = seconds(20);
    return limits;
}

const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\n";

bool isProblem(const std::string &answer, const std::string &status)
{
    return answer.starts_with("HTTP/1.1 " + status + " ")
        && answer.find("application/problem+json") != std::string::npos
        && answer.find(R"("outcome":"did_not_run")") != std::string::npos;
}

} // namespace

// A faulty or malicious client sends bytes that are not a valid request. It must get a problem
// document and the connection must be closed. Bytes after the fault must not be parsed as a second
// request: an ambiguous length would allow request smuggling.
TEST_CASE("Malformed requests get a 4xx and the end of the connection")
{
    echo_server echo(smallLimits());
    const auto refusedWith = [&](const std::string &bytes, const std::string &status) {
        const std::string answer = echo.exchange(bytes);
        INFO(bytes.substr(0, 200) << " -> " << answer);
        return isProblem(answer, status) && answer.find("HTTP/1.1 ", 1) == std::string::npos;
    };

    SUBCASE("the request line")
    {
        CHECK(refusedWith("nonsense\r\n\r\n", "400"));
        CHECK(refusedWith("GET /a b HTTP/1.1\r\n\r\n", "400"));
        CHECK(refusedWith("GET / HTTP/9.9\r\n\r\n", "400"));
        CHECK(refusedWith(std::string("GET /\0x HTTP/1.1\r\n\r\n", 21), "400"));
    }
    SUBCASE("the length")
    {
        CHECK(refusedWith(head + "Content-Length: -1\r\n\r\n", "400"));
        CHECK(refusedWith(head + "Content-Length: 1e3\r\n\r\n", "400"));
        CHECK(refusedWith(head + "Content-Length: 99999999999999999999999\r\n\r\n", "400"));
        CHECK(refusedWith(head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"));
        CHECK(refusedWith(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                          "400"));
        CHECK(refusedWith(head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "400"));
        CHECK(refusedWith(head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "400"));
    }
    SUBCASE("a header with a control character")
    {
        CHECK(refusedWith(head
                              + "X: a\x01"
                                "b\r\n\r\n",
                          "400"));
    }
    SUBCASE("sizes past the bounds")
    {
        CHECK(refusedWith(head + "X: " + std::string(5000, 'x') + "\r\n\r\n", "431"));
        CHECK(refusedWith("GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n", "431"));
        CHECK(refusedWith(head + "Content-Length: 2049\r\n\r\n", "413"));
        CHECK(
            refusedWith(head + "Content-Length: 400000\r\n\r\n" + std::string(200000, 'x'), "413"));
        CHECK(refusedWith(
            head + "Transfer-Encoding: chunked\r\n\r\n1000\r\n" + std::string(4096, 'x'), "413"));
    }
    echo.waitUntilAllClosed();
}

TEST_CASE("Requests at the bounds are served")
{
    echo_server echo(smallLimits());

    SUBCASE("a body of the largest size")
    {
        const std::string answer = echo.exchange(
            head + "Connection: close\r\nContent-Length: 2048\r\n\r\n" + std::string(2048, 'x'));
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        CHECK(answer.ends_with(std::string(2048, 'x')));
    }
    SUBCASE("two requests that came in one piece")
    {
        const std::string answer
            = echo.exchange(head + "Content-Length: 1\r\n\r\na" + head
                            + "Connection: close\r\nContent-Length: 1\r\n\r\nb");
        CHECK(answer.find("HTTP/1.1 200 ", 1) != std::string::npos);
        CHECK(answer.ends_with("b"));
    }
    SUBCASE("a caller that waits for 100 Continue")
    {
        std::string answer;
        auto body = [&]() -> awaitable<void> {
            raw_client client(echo.context);
            co_await client.connect(echo.port);
            co_await client.send(head
                                 + "Connection: close\r\nExpect: 100-continue\r\n"
                                   "Content-Length: 2\r\n\r\n");
            CHECK(co_await client.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
            co_await client.send("ok");
            answer = co_await client.readToEnd();
        };
        runIn(echo.context, body());
        CHECK(answer.ends_with("ok"));
    }
    SUBCASE("a HEAD request gets the header alone")
    {
        const std::string answer
            = echo.exchange("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        CHECK(answer.ends_with("\r\n\r\n"));
    }
}

// Guards against the part of a request that is run as the whole one.
TEST_CASE("A request that breaks off is not handled")
{
    echo_server echo(smallLimits());
    CHECK(echo.exchangeHalf(head + "Content-Length: 5\r\n\r\nabcd").empty());
    CHECK(echo.exchangeHalf(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n").empty());
    CHECK(echo.exchangeHalf(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nab").empty());
    CHECK(echo.exchangeHalf("POST /echo HTTP/1.1\r\nHost: a\r\n").empty());
    CHECK(echo.requests == 0);
}

// Guards against a body that is taken for the next request, or is forwarded without its coding.
TEST_CASE("A request in a transfer coding other than chunked is refused")
{
    echo_server echo(smallLimits());
    const std::string smuggled = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    for (const std::string coding : {"gzip", "identity", "gzip, chunked", "chunked, gzip"}) {
        CAPTURE(coding);
        const std::string request
            = fmt::format("{}Transfer-Encoding: {}\r\n\r\n{}", head, coding, smuggled);
        CHECK(isProblem(echo.exchangeHalf(request), "400"));
    }
    CHECK(echo.requests == 0);
}

// Guards against an HTTP/1.0 client that takes chunks for the body, or the end of a broken
// response for the end of its body.
TEST_CASE("A streamed response to an HTTP/1.0 client ends with its connection")
{
    echo_server echo(smallLimits());
    bool isReset = false;
    const std::string whole = echo.exchange("GET /stream HTTP/1.0\r\n\r\n", &isReset);
    CHECK(whole.find("Transfer-Encoding") == std::string::npos);
    CHECK(whole.ends_with("\r\n\r\nfirst second"));
    CHECK_FALSE(isReset);

    SUBCASE("and is reset if it breaks off")
    {
        const std::string broken = echo.exchange("GET /broken HTTP/1.0\r\n\r\n", &isReset);
        CHECK(isReset);
    }
    SUBCASE("while an HTTP/1.1 client sees that the last chunk is missing")
    {
        const std::string broken = echo.exchange("GET /broken HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(broken.ends_with("first \r\n"));
    }
}

TEST_CASE("A handler's fault is told to the caller")
{
    echo_server echo(smallLimits());
    const std::string answer
        = echo.exchange("GET /throws HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 500 "));
    CHECK(answer.find(R"("outcome":"unknown")") != std::string::npos);
}

// Slowloris: a client opens connections and sends a byte now and then. Without a timeout each
// connection would hold its memory indefinitely until none are left for other clients. A byte that
// arrives just as the timeout expires must not disable the timeout.
TEST_CASE("Slow senders are cut off")
{
    const paused_clock clock;
    echo_server echo(smallLimits());
    bool done = false;
    std::string answer;

    SUBCASE("a request that stops half-way")
    {
        auto body = [&]() -> awaitable<void> {
            answer = co_await exchangeRaw(echo.context, echo.port, "GET / HT");
            done = true;
        };
        spawn(echo.context.get_executor(), "client", body());
        runIn(echo.context, advanceUntil(done, seconds(1)));
        CHECK(isProblem(answer, "408"));
    }
    SUBCASE("a body of one byte at a time")
    {
        auto body = [&]() -> awaitable<void> {
            raw_client client(echo.context);
            co_await client.connect(echo.port);
            co_await client.send(head + "Content-Length: 2000\r\n\r\n");
            for (int i = 0; i < 1000; ++i) {
                runtime_clock::advance(seconds(1));
                co_await client.send("x");
                co_await yieldOnce();
            }
            answer = co_await client.readToEnd();
            done = true;
        };
        spawn(echo.context.get_executor(), "client", body());
        runIn(echo.context, advanceUntil(done, milliseconds(1)));
        CHECK(isProblem(answer, "408"));
    }
    echo.waitUntilAllClosed();
}

TEST_CASE("An idle connection is closed")
{
    const paused_clock clock;
    http_limits limits = smallLimits();
    limits.idleTimeout = seconds(75);
    echo_server echo(limits);
    bool done = false;
    std::string answer;
    auto body = [&]() -> awaitable<void> {
        answer = co_await exchangeRaw(echo.context, echo.port, "");
        done = true;
    };
    spawn(echo.context.get_executor(), "client", body());
    runIn(echo.context, advanceUntil(done, seconds(1)));
    CHECK(answer.empty());
    echo.waitUntilAllClosed();
}

// More clients connect than maxConnections. Those beyond the limit get a 503 with Retry-After, so
// that they try another entry host; established connections are unaffected.
TEST_CASE("Connections beyond the bound are told to come back")
{
    http_limits limits = smallLimits();
    limits.maxConnections = 1;
    limits.maxConcurrentRefusals = 1;
    echo_server echo(limits);
    auto body = [&]() -> awaitable<void> {
        raw_client first(echo.context);
        co_await first.connect(echo.port);
        co_await first.send(head + "Content-Length: 1\r\n\r\na");
        co_await first.readUntil("\r\n\r\na");

        const std::string refused
            = co_await exchangeRaw(echo.context, echo.port, head + "Content-Length: 1\r\n\r\nb");
        CHECK(isProblem(refused, "503"));
        CHECK(refused.find("Retry-After: 1") != std::string::npos);

        co_await first.send(head + "Content-Length: 1\r\n\r\nc");
        const std::string served = co_await first.readUntil("\r\n\r\nc");
        CHECK(served.starts_with("HTTP/1.1 200 "));
    };
    runIn(echo.context, body());
}

// Many clients announce large bodies at once and send nothing. The memory reserved for them
// together must stay within maxTotalBodyBytes.
TEST_CASE("Bodies of all callers together are bounded")
{
    http_limits limits = smallLimits();
    limits.maxBodyBytes = 1U << 20U;
    limits.maxTotalBodyBytes = 3 << 19U;
    echo_server echo(limits);
    auto body = [&]() -> awaitable<void> {
        raw_client first(echo.context);
        co_await first.connect(echo.port);
        co_await first.send(head + "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n");
        co_await first.readUntil("100 Continue");
        const std::string refused = co_await exchangeRaw(echo.context, echo.port,
                                                         head + "Content-Length: 1000000\r\n\r\n");
        CHECK(isProblem(refused, "503"));
        first.close();
        // The first client's reservation is released once it has disconnected.
        std::string served;
        while (!served.starts_with("HTTP/1.1 200 ")) {
            served
                = co_await exchangeRaw(echo.context, echo.port,
                                       head + "Connection: close\r\nContent-Length: 1000000\r\n\r\n"
                                           + std::string(1000000, 'x'));
        }
    };
    runIn(echo.context, body());
}

// Guards against a request that is read between the last look at an idle server and the end of its
// process: it was passed on, and its connection then ended without an answer.
TEST_CASE("A server that closed while it was idle handles no further request")
{
    echo_server echo(smallLimits());
    raw_client client(echo.context);
    std::string answer;
    auto connect = [&]() -> awaitable<void> { co_await client.connect(echo.port); };
    auto ask = [&]() -> awaitable<void> {
        co_await client.send(head + "Content-Length: 2\r\n\r\nok");
        answer = co_await client.readSome();
    };
    runIn(echo.context, connect());

    SUBCASE("idle, with open connections")
    {
        CHECK(echo.server.closeIfIdle());
        CHECK(echo.server.closeIfIdle());
        runIn(echo.context, ask());
        CHECK(isProblem(answer, "503"));
        CHECK(answer.find("Retry-After: 0\r\n") != std::string::npos);
        CHECK(answer.find("Connection: close\r\n") != std::string::npos);
        CHECK(echo.requests == 0);
        CHECK(echo.server.requestsInProgress() == 0);
    }
    SUBCASE("but it does not close under a request in progress")
    {
        bool wasClosed = true;
        echo.onRequest = [&] { wasClosed = echo.server.closeIfIdle(); };
        runIn(echo.context, ask());
        CHECK_FALSE(wasClosed);
        CHECK(answer.ends_with("ok"));
    }
}

// Guards against clients that keep their connections to a daemon that stops.
TEST_CASE("An answer that begins after the close was announced asks for it")
{
    echo_server echo(smallLimits());
    echo.onRequest = [&] { echo.server.announceClose(); };
    const std::string answer = echo.exchange(head + "Content-Length: 2\r\n\r\nok");
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(answer.ends_with("ok"));
}

// Guards against clients that occupy every connection: one that has waited for a while makes way.
TEST_CASE("A connection that waits makes way when all are taken")
{
    const paused_clock clock;
    http_limits limits = smallLimits();
    limits.maxConnections = 2;
    echo_server echo(limits);
    auto body = [&]() -> awaitable<void> {
        raw_client oldest(echo.context);
        raw_client older(echo.context);
        co_await oldest.connect(echo.port);
        co_await oldest.send("GET / HT");
        while (echo.server.openConnections() < 1)
            co_await yieldOnce();
        runtime_clock::advance(seconds(2));
        co_await older.connect(echo.port);
        co_await older.send(head + "Content-Length: 1\r\n\r\na");
        co_await older.readUntil("\r\n\r\na");

        const std::string served = co_await exchangeRaw(
            echo.context, echo.port, head + "Connection: close\r\nContent-Length: 1\r\n\r\nb");
        CHECK(served.starts_with("HTTP/1.1 200 "));
        const std::string rest = co_await oldest.readToEnd();
        CHECK(rest.empty());
        co_await older.send(head + "Content-Length: 1\r\n\r\nc");
        const std::string again = co_await older.readUntil("\r\n\r\nc");
        CHECK(again.starts_with("HTTP/1.1 200 "));
    };
    runIn(echo.context, body());
}

// Guards against a chunk line or a trailer without end.
TEST_CASE("Bytes that end no line of a chunked body are refused")
{
    echo_server echo(smallLimits());
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    CHECK(isProblem(echo.exchange(chunked + "1;a=" + std::string(5000, 'x')), "431"));
    CHECK(isProblem(echo.exchange(chunked + std::string(5000, '0')), "431"));
    CHECK(isProblem(echo.exchange(chunked + "0\r\na: " + std::string(5000, 'x')), "431"));
    SUBCASE("while lines within the limit of a header are not")
    {
        const std::string lines = "1;a=" + std::string(500, 'x') + "\r\ny\r\n0\r\na: b\r\n\r\n";
        raw_client client(echo.context);
        auto body = [&]() -> awaitable<void> {
            co_await client.connect(echo.port);
            co_await client.send(chunked + lines);
            const std::string answer = co_await client.readUntil("\r\n\r\ny");
            CHECK(answer.starts_with("HTTP/1.1 200 "));
        };
        runIn(echo.context, body());
    }
    CHECK(echo.requests <= 1);
}

// Guards against an unfinished large request that keeps small ones out.
TEST_CASE("An unfinished large request makes way for a small one")
{
    http_limits limits = smallLimits();
    limits.maxBodyBytes = 1U << 20U;
    limits.maxTotalBodyBytes = 1 << 17;
    echo_server echo(limits);
    auto body = [&]() -> awaitable<void> {
        raw_client large(echo.context);
        co_await large.connect(echo.port);
        co_await large.send(head + "Expect: 100-continue\r\nContent-Length: 80000\r\n\r\n");
        co_await large.readUntil("100 Continue");
        raw_client small(echo.context);
        std::vector<std::unique_ptr<raw_client>> others;
        std::string answer;
        for (int i = 0; i < 12; ++i) {
            others.push_back(std::make_unique<raw_client>(echo.context));
            co_await others.back()->connect(echo.port);
            co_await others.back()->send(head + "Content-Length: 9000\r\n\r\n");
        }
        co_await small.connect(echo.port);
        co_await small.send(head + "Content-Length: 1\r\n\r\na");
        answer = co_await small.readUntil("\r\n\r\na");
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        const std::string refused = co_await large.readToEnd();
        CHECK(isProblem(refused, "503"));
    };
    runIn(echo.context, body());
}

// Guards against requests in progress that use up the descriptors for replicas.
TEST_CASE("Requests beyond the limit are refused at once")
{
    http_limits limits = smallLimits();
    limits.maxRequests = 0;
    echo_server echo(limits);
    CHECK(isProblem(echo.exchange(head + "Content-Length: 1\r\n\r\na"), "503"));
    CHECK(echo.requests == 0);
}
