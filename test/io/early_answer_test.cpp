#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "early_replica.h"
#include "entry_fixture.h"
#include "platform/platform_store.h"

#include <array>

namespace azurehill::test {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view brokenSend = "azurehill_sends_total{end=\"broken\"} 1";
constexpr std::string_view wholeEvent = "id: 1\ndata: e1\n\n";

std::string head(std::string_view contentType)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: {}\r\n",
                       contentType);
}
/// \returns an answer that ends with its connection.
std::string unframed(std::string_view contentType, std::string_view body)
{
    return fmt::format("{}\r\n{}", head(contentType), body);
}
std::string withLength(std::string_view contentType, std::string_view body)
{
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", head(contentType), body.size(), body);
}
std::string inChunks(std::string_view contentType, std::string_view body)
{
    return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{}", head(contentType),
                       body.size(), body, lastChunk);
}

/// \brief When a replica ends the connection, as seen by the reader of its answer.
enum class end_moment { BeforeFirstRead, BetweenReads, DuringRead };

/// \brief A caller that reads the early answer to a long request part by part.
class early_exchange
{
public:
    explicit early_exchange(std::string answer,
                            std::size_t requestBytes = early_replica::longRequest)
        : replica(m_context, "i-1", "s"), m_requestBytes(requestBytes)
    {
        replica.answer = std::move(answer);
    }

    /// \returns the response as it was read with the replica's end at \p moment.
    exchange_result read(end_moment moment)
    {
        exchange_result result;
        runIn(m_context, exchange(moment, result));
        return result;
    }

    duration timeout = seconds(5);

private:
    awaitable<void> exchange(end_moment moment, exchange_result &result)
    {
        replica.waitsForEnd = true;
        http_connection connection(m_context.get_executor());
        const time_point deadline = runtime_clock::now() + timeout;
        const auto connected = co_await connection.connect(replica.entry.address, deadline);
        REQUIRE(connected);
        http_request request;
        request.method = "POST";
        request.body.assign(m_requestBytes, 'x');
        const auto received = co_await connection.sendAndReadHead(std::move(request), deadline);
        REQUIRE(received);
        result->status = received->status;
        if (moment == end_moment::BeforeFirstRead)
            co_await awaitEnd();
        if (moment == end_moment::DuringRead)
            spawn(m_context.get_executor(), "end", endLater());
        while (true) {
            const auto part = co_await connection.readSome(deadline);
            if (!part) {
                result = tl::unexpected(part.error());
                break;
            }
            if (part->empty())
                break;
            result->body += *part;
            if (moment == end_moment::BetweenReads && replica.ended == 0)
                co_await awaitEnd();
        }
        connection.close();
    }

    awaitable<void> endLater()
    {
        co_await yieldOnce();
        replica.allowEnd();
    }

    /// \brief Has the replica end the connection, and the caller's host notice it.
    awaitable<void> awaitEnd()
    {
        constexpr int reactorTurns = 20;
        replica.allowEnd();
        const bool readsOn
            = replica.end == early_end::ShutdownAndRead || replica.end == early_end::Read;
        while (replica.ended == 0 && !readsOn)
            co_await yieldOnce();
        for (int i = 0; i < reactorTurns; ++i)
            co_await yieldOnce();
    }

    asio::io_context m_context;

public:
    early_replica replica;

private:
    std::size_t m_requestBytes;
};

constexpr std::array moments
    = {end_moment::BeforeFirstRead, end_moment::BetweenReads, end_moment::DuringRead};
constexpr std::array resets = {early_end::Reset, early_end::Close, early_end::ShutdownAndClose};

/// \brief Test fixture: an entry service whose tools, or whose engine, answer early.
class early_fixture : public entry_fixture
{
public:
    /// \param turns how often the daemon's handlers run before a replica ends its connection.
    explicit early_fixture(std::string answer, early_end end = early_end::Reset, int turns = 50)
        : tool(context, "i-early", "tools"), engine(context, "i-engine", "model")
    {
        tool.answer = engine.answer = std::move(answer);
        tool.end = engine.end = end;
        tool.turnsBeforeEnd = engine.turnsBeforeEnd = turns;
        service->setReplicas({tool.entry, engine.entry});
    }

    /// \brief Sends a request that fills the buffers between the daemon and a replica.
    std::string askLong(const std::string &path)
    {
        constexpr std::size_t bodyBytes = 3'900'000;
        return ask(fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: r{}", path, ++m_number),
                   std::string(bodyBytes, 'x'));
    }

    early_replica tool;
    early_replica engine;

private:
    int m_number = 0;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("answers before the end of the request")
{
    // Guards against a reset that the write of the request takes, after which the read sees an
    // orderly end.
    TEST_CASE("an answer without a framing is broken by a reset while its request is written")
    {
        for (const std::string_view type : {"text/plain", "text/event-stream"}) {
            for (const early_end end : resets) {
                for (const end_moment moment : moments) {
                    CAPTURE(type);
                    CAPTURE(end);
                    CAPTURE(moment);
                    early_exchange e(unframed(type, wholeEvent));
                    e.replica.end = end;
                    const exchange_result result = e.read(moment);
                    REQUIRE_FALSE(result);
                    CHECK(result.error().ran == outcome::Unknown);
                }
            }
        }
    }

    // Guards against an answer that counts as whole while a reset may still follow.
    TEST_CASE("an answer without a framing is not complete before its request is written")
    {
        early_exchange e(unframed("text/plain", "part"));
        e.replica.end = early_end::ShutdownAndStay;
        e.timeout = milliseconds(300);
        for (const end_moment moment : moments) {
            const exchange_result result = e.read(moment);
            REQUIRE_FALSE(result);
            CHECK(result.error().kind == http_error_kind::TimedOut);
        }
    }

    // Guards against whole answers that are withheld from their callers.
    TEST_CASE("an early answer is complete")
    {
        std::string answer;
        early_end end = early_end::Reset;
        std::size_t requestBytes = early_replica::longRequest;

        SUBCASE("with a length")
        {
            answer = withLength("text/plain", "whole");
        }
        SUBCASE("in chunks")
        {
            answer = inChunks("text/plain", "whole");
        }
        SUBCASE("without a framing, if the replica reads the rest of the request")
        {
            answer = unframed("text/plain", "whole");
            end = early_end::ShutdownAndRead;
        }
        SUBCASE("without a framing, if the request was written before")
        {
            answer = unframed("text/plain", "whole");
            end = early_end::ShutdownAndStay;
            requestBytes = 1000;
        }
        for (const end_moment moment : moments) {
            CAPTURE(moment);
            early_exchange e(answer, requestBytes);
            e.replica.end = end;
            const exchange_result result = e.read(moment);
            REQUIRE(result);
            CHECK(result->body == "whole");
        }
    }

    // Guards against the part of an answer that clients of the platform get as the whole.
    TEST_CASE("the daemon of the platform shows its clients no end of such an answer")
    {
        const std::string part = unframed("text/plain", "part");
        const std::string large
            = unframed("text/plain", std::string(2 * response_relay::maxBufferedBytes, 'x'));
        const std::string stream = unframed("text/event-stream", wholeEvent);
        for (const early_end end : resets) {
            for (const int turns : {0, 50}) {
                CAPTURE(end);
                CAPTURE(turns);
                early_fixture plain(part, end, turns);
                CHECK(plain.askLong("/unsafe/1").starts_with("HTTP/1.1 502"));
                CHECK(plain.tool.answered == 1);
                CHECK(contains(plain.metrics.toText({}), brokenSend));

                CHECK_FALSE(
                    early_fixture(large, end, turns).askLong("/unsafe/1").ends_with(lastChunk));
                CHECK_FALSE(
                    early_fixture(stream, end, turns).askLong("/chat/1").ends_with(lastChunk));
                CHECK_FALSE(
                    early_fixture(stream, end, turns).askLong("/turn/1").ends_with(lastChunk));

                early_fixture failure(part, end, turns);
                failure.engine.answer.replace(failure.engine.answer.find("200"), 3, "500");
                CHECK(failure.askLong("/chat/1").starts_with("HTTP/1.1 502"));
            }
        }
    }

    // Guards against a part of an answer that is taken although another replica could be asked.
    TEST_CASE("an idempotent request goes to another replica")
    {
        for (const early_end end : resets) {
            CAPTURE(end);
            early_fixture w(unframed("text/plain", "part"), end, 50);
            // The other replica is farther, so that the first one is asked first.
            replica_entry other = w.a.entry;
            other.dataCentre = {"far"};
            w.service->setReplicas({w.tool.entry, other});
            for (int i = 0; i < 4; ++i)
                CHECK(w.askLong("/safe/1").ends_with("\r\n\r\nok"));
            CHECK(w.tool.answered > 0);
        }
    }

    // Guards against a turn that is kept although its output broke off.
    TEST_CASE("a turn whose answer broke off is not there for the next one")
    {
        early_fixture w(unframed("text/event-stream", wholeEvent));
        w.service->setReplicas({w.model.entry});
        // The turns together are a prompt that fills the buffers between the daemon and a replica.
        constexpr int turns = 90;
        const std::string input(50'000, 'x');
        std::string last;
        for (int i = 1; i <= turns; ++i) {
            const std::string id = fmt::format("t{}", i);
            w.model.script = {scripted_replica::stream(1)};
            REQUIRE(w.turn(id, last, input, 100'000).ends_with(lastChunk));
            last = id;
        }
        w.service->setReplicas({w.engine.entry});
        const std::string broken = w.turn("broken", last, "in", 100'000);
        CHECK(contains(broken, "data: e1"));
        CHECK_FALSE(broken.ends_with(lastChunk));
        CHECK(w.turn("next", "broken", "in", 100'000).starts_with("HTTP/1.1 404"));
    }

    // Guards against an acknowledgement that was cut and reads as a whole document.
    TEST_CASE("the store's answer to a large write is an unknown outcome")
    {
        asio::io_context context;
        early_replica store(context, "store", "store");
        store.turnsBeforeEnd = 50;
        store.answer = "HTTP/1.1 200 OK\r\n\r\n{\"ver\":7}";
        platform_store client(
            std::make_shared<direct_transport>(context.get_executor(), store.entry.address));
        auto call = [&]() -> awaitable<void> {
            store_transaction t;
            t.writes.push_back({{"t", "p", "a"}, std::string(early_replica::longRequest, 'x')});
            const auto written
                = co_await client.transact(std::move(t), runtime_clock::now() + seconds(5));
            REQUIRE_FALSE(written);
            CHECK(written.error().kind == store_error_kind::Unknown);
            CHECK(store.answered == 1);
        };
        runIn(context, call());
    }
}

} // namespace azurehill::test
