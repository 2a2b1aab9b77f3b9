#include "entry_fixture.h"
#include "members/peer_transport.h"
#include "platform/platform_store.h"

#include <doctest/doctest.h>

#include <fstream>
#include <unistd.h>

namespace azurehill::test {

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
/// Memory that one answer may take, of the 88 MB of a small host.
constexpr std::size_t maxMemoryGrowth = 32 * mebibyte;
/// Time in which another replica has long answered.
constexpr duration promptly = seconds(2);

/// \returns the memory of this process in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

const std::string answerHead = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: r1\r\n"
                               "X-Azurehill-Server-Stamp: stamp\r\n";
const std::string chunkedHead = answerHead + "Transfer-Encoding: chunked\r\n";
const std::string streamHead = chunkedHead + "Content-Type: text/event-stream\r\n\r\n";

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

/// \returns an event with \p bytes of data, as a chunk.
std::string eventChunk(std::size_t bytes)
{
    return chunk("data: " + repeated("x", bytes) + "\n\n");
}

/// \brief Replica that answers each request with a beginning and then the same bytes over and over,
/// until its caller closes the connection.
class endless_replica
{
public:
    endless_replica(asio::io_context &context, const replica_entry &like, std::string beginning,
                    std::string again)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), entry(like),
          m_beginning(std::move(beginning)), m_again(std::move(again))
    {
        entry.address.port = m_acceptor.local_endpoint().port();
        spawn(context.get_executor(), "acceptAll", acceptAll());
    }

private:
    awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            boost::system::error_code code;
            co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
            if (code)
                co_return;
            spawn(m_acceptor.get_executor(), "serve", serve(socket));
        }
    }

    awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket)
    {
        boost::system::error_code code;
        std::array<char, 4096> request;
        co_await socket->async_read_some(asio::buffer(request),
                                         asio::redirect_error(use_awaitable, code));
        if (code)
            co_return;
        ++requests;
        co_await asio::async_write(*socket, asio::buffer(m_beginning),
                                   asio::redirect_error(use_awaitable, code));
        while (!code) {
            const std::size_t sent = co_await asio::async_write(
                *socket, asio::buffer(m_again), asio::redirect_error(use_awaitable, code));
            bytes += sent;
        }
    }

    asio::ip::tcp::acceptor m_acceptor;

public:
    replica_entry entry;
    int requests = 0;
    /// Bytes that callers accepted after the beginning.
    std::size_t bytes = 0;

private:
    std::string m_beginning;
    std::string m_again;
};

/// \brief What a client saw of an answer.
struct seen_answer
{
    /// Beginning of the answer.
    std::string head;
    std::size_t bytes = 0;
    bool isEndMarked = false;
    duration time = duration::zero();
    /// Growth of the memory of this process, with the daemon, meanwhile.
    std::size_t memoryGrowth = 0;
};

/// \brief Test fixture: an entry service whose replica i-a, or whose engine, never stops writing.
class endless_fixture : public entry_fixture
{
public:
    endless_fixture(const replica_entry &replaced, std::string beginning, std::string again)
        : endless(context, replaced, std::move(beginning), std::move(again))
    {
        const bool isEngine = replaced.service == model.entry.service;
        // The other replica is farther, so that the first one is asked first.
        replica_entry other = b.entry;
        other.dataCentre = {"far"};
        service->setReplicas(isEngine ? std::vector{endless.entry}
                                      : std::vector{endless.entry, other});
    }

    seen_answer request(const std::string &path)
    {
        seen_answer seen;
        runIn(context, exchange(path, seen));
        return seen;
    }

    endless_replica endless;

private:
    awaitable<void> exchange(std::string path, seen_answer &seen)
    {
        constexpr std::size_t keptBytes = 400;
        const std::size_t memoryBefore = residentBytes();
        const time_point began = runtime_clock::now();
        raw_client client(context);
        co_await client.connect(port);
        std::string bytes
            = fmt::format("GET {} HTTP/1.1\r\nHost: h.example\r\nX-Azurehill-Request-Id: r1\r\n"
                          "Connection: close\r\n\r\n",
                          path);
        co_await client.send(std::move(bytes));
        while (true) {
            const std::string part = co_await client.readSome();
            if (part.empty())
                break;
            seen.isEndMarked = part.ends_with("0\r\n\r\n");
            seen.head += part.substr(0, keptBytes - std::min(keptBytes, seen.head.size()));
            seen.bytes += part.size();
            const std::size_t memory = residentBytes();
            if (memory > memoryBefore)
                seen.memoryGrowth = std::max(seen.memoryGrowth, memory - memoryBefore);
        }
        seen.time = runtime_clock::now() - began;
    }
};

replica_entry toolReplica()
{
    replica_entry entry;
    entry.incarnation.id = {"i-a"};
    entry.service = "tools";
    entry.address = {"127.0.0.1", 0};
    entry.dataCentre = {"dc"};
    entry.slots = 8;
    return entry;
}

replica_entry engineReplica()
{
    replica_entry entry = toolReplica();
    entry.incarnation.id = {"i-m"};
    entry.service = "model";
    return entry;
}

constexpr int calls = 8;

} // namespace

TEST_SUITE("answers without an end")
{
    // Guards against a daemon that runs out of memory on a stream that never ends.
    TEST_CASE("events without end are broken off before they take much memory")
    {
        for (const char *path : {"/chat/1", "/turn/1"}) {
            CAPTURE(std::string(path));
            endless_fixture w(engineReplica(), streamHead, eventChunk(16U << 10U));
            const seen_answer seen = w.request(path);
            CHECK(seen.head.starts_with("HTTP/1.1 200"));
            CHECK_FALSE(seen.isEndMarked);
            CHECK(seen.memoryGrowth < maxMemoryGrowth);
            CHECK(seen.bytes < 2 * response_relay::maxStreamBytes);
            // Another send would end the same way.
            CHECK(w.endless.requests == 1);
        }
    }

    // Guards against comments or blank lines that never end, which are no events.
    TEST_CASE("comment lines without end are broken off")
    {
        endless_fixture w(engineReplica(), streamHead,
                          chunk(repeated(": no event\n\n", 16U << 10U)));
        const seen_answer seen = w.request("/chat/1");
        CHECK_FALSE(seen.isEndMarked);
        CHECK(seen.memoryGrowth < maxMemoryGrowth);
        CHECK(seen.bytes < 2 * response_relay::maxStreamBytes);
    }

    // Guards against a caller that waits for the end of a refusal while another replica is free.
    TEST_CASE("a refusal whose body has no end is a refusal at once")
    {
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Azurehill-Request-Id: r1\r\nX-Azurehill-Not-Run: full\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
        endless_fixture w(toolReplica(), refusal, chunk(repeated("full ", 4096)));
        for (int i = 0; i < calls; ++i) {
            const seen_answer seen = w.request("/unsafe/1");
            CHECK(seen.head.starts_with("HTTP/1.1 200"));
            CHECK(seen.time < promptly);
            CHECK(seen.memoryGrowth < maxMemoryGrowth);
        }
        CHECK(w.endless.requests > 0);
    }

    // Guards against bytes before an answer, or within its framing, that never end.
    TEST_CASE("heads, chunk extensions and trailers without end are no answer")
    {
        struct endless_part
        {
            const char *name;
            std::string beginning;
            std::string again;
        };
        const std::vector<endless_part> parts
            = {{"interim heads", "", repeated("HTTP/1.1 102 Processing\r\n\r\n", 4096)},
               {"a head", answerHead, repeated("X-More: more\r\n", 4096)},
               {"a header line", answerHead + "X-More: ", repeated("more", 4096)},
               {"a status line", "HTTP/1.1 200 ", repeated("more", 4096)},
               {"a chunk extension", chunkedHead + "\r\n5;more=", repeated("more", 4096)},
               {"trailers", chunkedHead + "\r\n5\r\nwhole\r\n0\r\n",
                repeated("X-More: more\r\n", 4096)},
               {"a chunk size", chunkedHead + "\r\n", repeated("0", 4096)}};
        for (const endless_part &part : parts) {
            CAPTURE(std::string(part.name));
            endless_fixture w(toolReplica(), part.beginning, part.again);
            for (int i = 0; i < calls; ++i) {
                const seen_answer seen = w.request("/safe/1");
                CHECK(seen.head.starts_with("HTTP/1.1 200"));
                CHECK(seen.time < promptly);
                CHECK(seen.memoryGrowth < maxMemoryGrowth);
            }
            CHECK(w.endless.requests > 0);
            CHECK(w.endless.bytes < calls * mebibyte * 8);
        }
    }

    // Guards against a body without end that takes memory, or holds its caller past the deadline.
    TEST_CASE("a plain body without end is passed on up to the deadline, and has no end")
    {
        endless_fixture w(toolReplica(), chunkedHead + "\r\n", chunk(repeated("body", 4096)));
        w.service->setReplicas({w.endless.entry});
        const seen_answer seen = w.request("/unsafe/1");
        CHECK_FALSE(seen.isEndMarked);
        CHECK(seen.time < seconds(6));
        CHECK(seen.memoryGrowth < maxMemoryGrowth);
    }

    // Guards against a daemon that runs out of memory on an answer of the store, or of a peer.
    TEST_CASE("an answer of the store without end is an unknown outcome")
    {
        asio::io_context context;
        endless_replica endless(context, toolReplica(), "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[",
                                repeated("{},", 64U << 10U));
        scripted_replica store(context, "store", "store");
        const auto through
            = std::make_shared<peer_transport>(context.get_executor(), store.entry.address);
        through->setPeers({endless.entry.address});
        const std::string away = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}";
        store.script = {away, away};
        const std::vector<std::shared_ptr<store_transport>> transports
            = {std::make_shared<direct_transport>(context.get_executor(), endless.entry.address),
               through};
        for (const auto &transport : transports) {
            platform_store client(transport);
            const std::size_t bytesBefore = endless.bytes;
            auto call = [&]() -> awaitable<void> {
                row_range range{"t", "p", "", ""};
                const auto page
                    = co_await client.read(std::move(range), runtime_clock::now() + seconds(5));
                CHECK_FALSE(page.has_value());
            };
            const time_point began = runtime_clock::now();
            runIn(context, call());
            CHECK(runtime_clock::now() - began < promptly);
            // Those that were kept, and those in the buffers of the connection.
            CHECK(endless.bytes - bytesBefore < maxMemoryGrowth);
        }
        CHECK(endless.requests == 2);
    }

    // Guards against a long answer of which the first part is passed on as the whole.
    TEST_CASE("a long answer that is no stream is passed on whole")
    {
        entry_fixture w;
        const std::string body = repeated("long ", 3 * response_relay::maxBufferedBytes);
        std::string answer = scripted_replica::good(body);
        answer.replace(answer.find("200 OK"), 6, "404 Not Found");
        w.model.script = {answer};
        const std::string seen = w.chat("c1", "prompt");
        CHECK(seen.starts_with("HTTP/1.1 404"));
        CHECK(seen.size() > body.size());
    }
}

} // namespace azurehill::test
