#include "io/door_world.h"
#include "io/early_replica.h"
#include "io/invalid_heads.h"
#include "io/scripted_replica.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

constexpr std::string_view tornEvents = "data: whole\n\ndata: to";

/// \returns a response with neither a length nor chunks, which ends with its connection.
std::string unframed(std::string_view contentType, std::string_view body, std::string_view end)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: {}\r\nConnection: close\r\n\r\n{}{}",
                       contentType, body, end);
}

/// \brief A daemon with one upstream of a service, whose answers are written byte for byte.
struct scripted_world
{
    scripted_world(const std::string &service, std::string answer)
        : upstream(world.context, "upstream", service)
    {
        upstream.script = {std::move(answer)};
        // The upstream also answers what the daemon itself asks engines.
        world.addHost("upstream", service, upstream.entry.address.port);
        world.deadUpstreams = 1;
        world.start();
    }

    /// \returns all bytes of the answer to \p request.
    std::string exchangeRaw(http_request request)
    {
        std::string answer;
        auto body = [&]() -> awaitable<void> {
            request.headers.add("Connection", "close");
            answer = co_await test::exchangeRaw(world.context, world.daemons.front().port,
                                                door_world::wire(request));
        };
        world.run(body());
        return answer;
    }

    door_world world;
    scripted_replica upstream;
};

/// \brief A daemon with one upstream of a service that answers before it has read the request.
struct early_world
{
    explicit early_world(const std::string &service) : upstream(world.context, "upstream", service)
    {
        upstream.answer = "HTTP/1.1 200 OK\r\n\r\npart";
        upstream.turnsBeforeEnd = 50;
        world.addHost("upstream", service, upstream.entry.address.port);
        world.deadUpstreams = 1;
        world.start();
    }

    /// Size of a body that fills the buffers between the daemon and its upstream.
    static constexpr std::size_t bodyBytes = 3'900'000;

    door_world world;
    early_replica upstream;
};

} // namespace

TEST_SUITE("answers of upstreams that break off")
{
    // Guards against a tool's broken answer that is journalled and repeated as the whole one.
    TEST_CASE("a tool's answer is stored only if it is complete")
    {
        SUBCASE("not an event stream that ends inside an event")
        {
            scripted_world w("proof", unframed("text/event-stream", tornEvents, "<close>"));
            const http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            const http_response broken = w.world.exchange(call);
            CHECK(broken.status == 502);
            CHECK(broken.body.find(R"("outcome":"unknown")") != std::string::npos);
            CHECK(broken.body.find("inside_event") != std::string::npos);
            CHECK(w.world.exchange(call).status == 502);
            CHECK(w.upstream.arrived.size() == 1);
        }
        SUBCASE("not one whose connection was reset")
        {
            scripted_world w("proof", unframed("text/plain", "part", "<pause><reset>"));
            const http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            CHECK(w.world.exchange(call).status == 502);
            CHECK(w.world.exchange(call).status == 502);
            CHECK(w.upstream.arrived.size() == 1);
        }
        SUBCASE("not one that ends before its length")
        {
            scripted_world w("proof", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart<close>");
            const http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            const http_response broken = w.world.exchange(call);
            CHECK(broken.status == 502);
            CHECK(broken.body.find("cut_short") != std::string::npos);
        }
        SUBCASE("but one without a framing, after an orderly end of its connection")
        {
            scripted_world w("proof", unframed("text/plain", "whole", "<close>"));
            const http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            CHECK(w.world.exchange(call).body == "whole");
            CHECK(w.world.exchange(call).body == "whole");
            CHECK(w.upstream.arrived.size() == 1);
        }
    }

    // Guards against a broken answer of a plain service that is relayed with an end.
    TEST_CASE("a plain service's answer that breaks off is relayed without its last chunk")
    {
        const http_request book = door_world::request("GET", "/v1/services/library/book/1");
        constexpr std::string_view lastChunk = "0\r\n\r\n";

        SUBCASE("an event stream inside an event")
        {
            scripted_world w("library", unframed("text/event-stream", tornEvents, "<close>"));
            const std::string answer = w.exchangeRaw(book);
            CHECK(answer.find("data: whole") != std::string::npos);
            CHECK_FALSE(answer.ends_with(lastChunk));
        }
        SUBCASE("an answer whose connection is reset")
        {
            scripted_world w("library", unframed("text/plain", "part", "<pause><reset>"));
            const std::string answer = w.exchangeRaw(book);
            CHECK(answer.find("part") != std::string::npos);
            CHECK_FALSE(answer.ends_with(lastChunk));
        }
        SUBCASE("a whole one has it")
        {
            scripted_world w("library", unframed("text/plain", "whole", "<close>"));
            CHECK(w.exchangeRaw(book).ends_with(lastChunk));
        }
    }

    // Guards against a model's answer that is stored although its engine closed in the middle.
    TEST_CASE("a model's answer without its last event is not stored as a completion")
    {
        const std::string event
            = R"(data: {"choices":[{"index":0,"delta":{"content":"w"},"finish_reason":null}]})"
              "\n\n";
        scripted_world w("story-model", unframed("text/event-stream", event, "<close>"));
        const http_request call = door_world::modelCall(w.world.createProgram(), 1, "k");
        const http_response broken = w.world.exchange(call);
        CHECK(broken.body.find("event: error") != std::string::npos);
        CHECK(contentOf(broken.body.substr(0, broken.body.find("event: error")))
              == "w (unfinished)");
        CHECK(w.world.exchange(call).status == 502);
    }

    // Guards against a success with an empty body, framed as whole, for a head of which only a part
    // arrived.
    TEST_CASE("an upstream ends its connection inside the head of its answer")
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
        for (const std::size_t size : {1U, 9U, 17U, 30U, 44U}) {
            CAPTURE(size);
            scripted_world w("proof", head.substr(0, size) + "<close>");
            const http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            const http_response failed = w.world.exchange(call);
            CHECK(failed.status == 502);
            CHECK(failed.body.find(R"("outcome":"unknown")") != std::string::npos);
            CHECK(w.upstream.arrived.size() == 1);
        }
    }

    // Guards against a head that a parser can read and that no final response may have.
    TEST_CASE("an answer with an invalid head is neither journalled nor relayed")
    {
        for (const invalid_head &head : parsedHeads()) {
            CAPTURE(head.name);
            scripted_world tool("proof", plainResponse(head));
            const http_request call = door_world::toolCall(tool.world.createProgram(), 1, "k");
            const http_response broken = tool.world.exchange(call);
            CHECK(broken.status == 502);
            CHECK(broken.body.find(R"("outcome":"unknown")") != std::string::npos);
            CHECK(tool.world.exchange(call).status == 502);
            CHECK(tool.upstream.arrived.size() == 1);

            scripted_world plain("library", plainResponse(head));
            const http_request book = door_world::request("GET", "/v1/services/library/book/1");
            CHECK(plain.world.exchange(book).body != "whole");
        }
    }

    // Guards against a reset that the write of the request takes, after which the read sees an
    // orderly end.
    TEST_CASE("an upstream answers without a framing and resets while the request is written")
    {
        SUBCASE("a tool's answer is not journalled")
        {
            early_world w("proof");
            http_request call = door_world::toolCall(w.world.createProgram(), 1, "k");
            call.body.assign(early_world::bodyBytes, ' ');
            CHECK(w.world.exchange(call).status == 502);
            CHECK(w.world.exchange(call).status == 502);
        }
        SUBCASE("a plain service's answer is relayed without its last chunk")
        {
            early_world w("library");
            http_request book = door_world::request("POST", "/v1/services/library/book/1");
            book.headers.add("Azurehill-Idempotent", "true");
            book.headers.add("Connection", "close");
            book.body.assign(early_world::bodyBytes, ' ');
            std::string answer;
            auto body = [&]() -> awaitable<void> {
                answer = co_await exchangeRaw(w.world.context, w.world.daemons.front().port,
                                              door_world::wire(book));
            };
            w.world.run(body());
            CHECK(answer.find("part") != std::string::npos);
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        }
    }
}

} // namespace azurehill::test
