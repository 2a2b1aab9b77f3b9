#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
/// One whole event, and the beginning of another.
constexpr std::string_view tornEvents = "id: 1\ndata: e1\n\nid: 2\ndata: to";

/// \returns the head of a replica's response, up to its last header.
std::string head(std::string_view contentType)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: {}\r\n",
                       contentType);
}

/// \returns a response with neither a length nor chunks, which ends with its connection.
std::string unframed(std::string_view contentType, std::string_view body,
                     std::string_view end = "<close>")
{
    return fmt::format("{}Connection: close\r\n\r\n{}{}", head(contentType), body, end);
}
std::string unframedStream(std::string_view body)
{
    return unframed("text/event-stream", body);
}

/// \returns a response whose length says that \p body is all of it.
std::string withLength(std::string_view contentType, std::string_view body)
{
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", head(contentType), body.size(), body);
}

/// \returns a response whose last chunk says that \p body is all of it.
std::string inChunks(std::string_view contentType, std::string_view body)
{
    return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{}", head(contentType),
                       body.size(), body, lastChunk);
}

std::string chatHead()
{
    return "POST /chat/1 HTTP/1.1\r\nX-Azurehill-Request-Id: c1";
}
std::string safeHead()
{
    return "GET /safe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: s1";
}
std::string unsafeHead()
{
    return "POST /unsafe/1 HTTP/1.1\r\nX-Azurehill-Request-Id: u1";
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("answers that break off")
{
    // Guards against a crashed replica whose stream is taken for complete when its connection ends.
    TEST_CASE("a stream that ends with its connection inside an event is broken off")
    {
        entry_fixture w;
        w.model.script = {unframedStream(tornEvents)};

        SUBCASE("its caller sees no end, and its turn is not there for the next one")
        {
            CHECK_FALSE(w.turn("t1", "", "one;").ends_with(lastChunk));
            CHECK(w.turn("t2", "t1", "two;").starts_with("HTTP/1.1 404"));
            CHECK(w.model.arrived.size() == 1);
        }
        SUBCASE("the metrics count it apart from whole answers")
        {
            w.turn("t1", "", "one;");
            CHECK(contains(w.metrics.toText({}),
                           "azurehill_answers_total{answer=\"replica\",cause=\"broken_off\"} 1"));
            CHECK(contains(w.metrics.toText({}), "azurehill_sends_total{end=\"broken\"} 1"));
        }
        SUBCASE("its program is charged for what may have reached the caller")
        {
            // An event stands for two tokens. One event arrived, and a part of the next.
            constexpr int charged = 4;
            constexpr int nextTurn = 40;

            SUBCASE("and no more")
            {
                w.turn("t1", "", "one;", charged + nextTurn);
                CHECK(w.turn("t2", "", "two;", charged + nextTurn).starts_with("HTTP/1.1 200"));
            }
            SUBCASE("and no less")
            {
                w.turn("t1", "", "one;", charged + nextTurn - 1);
                CHECK(w.turn("t2", "", "two;", charged + nextTurn - 1).starts_with("HTTP/1.1 402"));
            }
        }
        SUBCASE("a resumable one goes on after its last whole event")
        {
            w.model.script.push_back(unframedStream("id: 2\ndata: e2\n\n"));
            const std::string answer = w.ask(chatHead(), "one;");
            CHECK(answer.ends_with(lastChunk));
            CHECK(contains(answer, "data: e1\n\n"));
            CHECK(contains(answer, "data: e2\n\n"));
            CHECK_FALSE(contains(answer, "data: to"));
            REQUIRE(w.model.arrived.size() == 2);
            CHECK(contains(w.model.arrived[1], "Last-Event-Id: 1\r\n"));
        }
    }

    // Guards against a replica that crashes before its first event and closes its connection.
    TEST_CASE("a stream that ends with its connection before its first event is broken off")
    {
        entry_fixture w;

        SUBCASE("without any byte")
        {
            w.model.script = {unframedStream("")};
        }
        SUBCASE("after a comment")
        {
            w.model.script = {unframedStream(": ping\n\n")};
        }
        CHECK_FALSE(w.turn("t1", "", "one;").ends_with(lastChunk));
        CHECK(w.turn("t2", "t1", "two;").starts_with("HTTP/1.1 404"));
    }

    // Guards against a replica that ends its framing while it stops in the middle of an event.
    TEST_CASE("a stream that ends its framing inside an event is broken off")
    {
        entry_fixture w;

        SUBCASE("by its last chunk")
        {
            w.model.script = {inChunks("text/event-stream", tornEvents)};
        }
        SUBCASE("by its length")
        {
            w.model.script = {withLength("text/event-stream; charset=utf-8", tornEvents)};
        }
        SUBCASE("without saying that it is a stream, on a route for streams")
        {
            std::string reply = inChunks("text/event-stream", tornEvents);
            const std::string_view field = "Content-Type: text/event-stream\r\n";
            reply.erase(reply.find(field), field.size());
            w.model.script = {reply};
        }
        CHECK_FALSE(w.turn("t1", "", "one;").ends_with(lastChunk));
        CHECK(w.turn("t2", "t1", "two;").starts_with("HTTP/1.1 404"));
    }

    // Guards against whole streams that are withheld from their callers.
    TEST_CASE("a stream that ends between two events is complete")
    {
        entry_fixture w;

        SUBCASE("with its connection")
        {
            w.model.script = {unframedStream("id: 1\ndata: e1\n\n")};
        }
        SUBCASE("with lines that end in CRLF")
        {
            w.model.script = {unframedStream("id: 1\r\ndata: e1\r\n\r\n")};
        }
        SUBCASE("with a comment after its last event")
        {
            w.model.script = {unframedStream("id: 1\ndata: e1\n\n: bye\n")};
        }
        SUBCASE("with its last chunk")
        {
            w.model.script = {inChunks("text/event-stream", "id: 1\ndata: e1\n\n")};
        }
        CHECK(w.turn("t1", "", "one;").ends_with(lastChunk));
        w.turn("t2", "t1", "two;");
        REQUIRE(w.model.arrived.size() == 2);
        CHECK(w.model.arrived[1].ends_with("one;e1\ntwo;"));
    }

    // Guards against an event stream on a plain route that is cut and told as whole.
    TEST_CASE("a plain answer that is an event stream ends between two events")
    {
        entry_fixture w;
        w.a.script = w.b.script = {unframedStream(tornEvents)};

        SUBCASE("an idempotent request goes to another replica")
        {
            w.a.onReply = [&] { w.b.script.clear(); };
            w.b.onReply = [&] { w.a.script.clear(); };
            CHECK(w.ask(safeHead()).ends_with("ok"));
            CHECK(w.a.arrived.size() == 1);
            CHECK(w.b.arrived.size() == 1);
        }
        SUBCASE("one that may run once gets a failure")
        {
            CHECK(w.ask(unsafeHead()).starts_with("HTTP/1.1 502"));
            CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
        }
    }

    // Guards against a failure's body that breaks off and is framed with the length of its part.
    TEST_CASE("a failure in place of a stream is passed on only if it is complete")
    {
        entry_fixture w;
        const std::string failure = "HTTP/1.1 500 X\r\nX-Azurehill-Request-Id: ID\r\n"
                                    "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: 4\r\n\r\n";

        SUBCASE("not before its length")
        {
            w.model.script = {failure + "par<close>"};
            CHECK(w.turn("t1", "", "one;").starts_with("HTTP/1.1 502"));
        }
        SUBCASE("a whole one is")
        {
            w.model.script = {failure + "part"};
            const std::string answer = w.turn("t1", "", "one;");
            CHECK(answer.starts_with("HTTP/1.1 500"));
            CHECK(answer.ends_with("part"));
        }
    }

    // Guards against a plain answer that was reset and reaches its caller with a length.
    TEST_CASE("a plain answer without a framing ends with an orderly end of its connection")
    {
        entry_fixture w;

        SUBCASE("it is whole then")
        {
            w.a.script = w.b.script = {unframed("text/plain", "whole")};
            const std::string answer = w.ask(unsafeHead());
            CHECK(contains(answer, "Content-Length: 5\r\n"));
            CHECK(answer.ends_with("whole"));
        }
        SUBCASE("but not if the connection is reset")
        {
            w.a.script = w.b.script = {unframed("text/plain", "whole", "<pause><reset>")};
            CHECK(w.askInSteps(unsafeHead()).starts_with("HTTP/1.1 502"));
        }
        SUBCASE("a connection that carried one is not used again")
        {
            w.service->setReplicas({w.a.entry});
            w.a.script = {unframed("text/plain", "whole")};
            w.ask(safeHead());
            w.ask(safeHead());
            CHECK(w.a.connections == 2);
        }
    }

    // Guards against an interim response that reaches the caller as the whole answer.
    TEST_CASE("an interim response is not the answer")
    {
        entry_fixture w;
        const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        w.a.script = w.b.script
            = {"HTTP/1.1 100 Continue\r\n\r\n" + interim + withLength("text/plain", "whole")};
        const std::string answer = w.ask(unsafeHead());
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with("whole"));
    }

    // Guards against coded bytes that reach the caller as the body, without the name of their
    // coding.
    TEST_CASE("an answer in a transfer coding other than chunked is refused")
    {
        entry_fixture w;
        std::string coding;
        SUBCASE("alone")
        {
            coding = "gzip";
        }
        SUBCASE("before the chunks")
        {
            coding = "gzip, chunked";
        }
        w.a.script = w.b.script = {fmt::format("{}Transfer-Encoding: {}\r\n\r\n1\r\nx\r\n{}<close>",
                                               head("text/plain"), coding, lastChunk)};
        CHECK(w.ask(unsafeHead()).starts_with("HTTP/1.1 502"));
    }

    // Guards against the end of a large answer that is written although the rest never came.
    TEST_CASE("a large answer that breaks off after its first bytes were relayed shows no end")
    {
        entry_fixture w;
        const std::string body(2 * response_relay::maxBufferedBytes, 'x');

        SUBCASE("before its length")
        {
            std::string reply = withLength("text/plain", body);
            reply.resize(reply.size() - 1);
            w.a.script = w.b.script = {reply + "<close>"};
            CHECK_FALSE(w.ask(unsafeHead()).ends_with(lastChunk));
        }
        SUBCASE("before its last chunk")
        {
            std::string reply = inChunks("text/plain", body);
            reply.resize(reply.size() - lastChunk.size());
            w.a.script = w.b.script = {reply + "<close>"};
            CHECK_FALSE(w.ask(unsafeHead()).ends_with(lastChunk));
        }
        SUBCASE("without a framing, by a reset")
        {
            w.a.script = w.b.script = {unframed("text/plain", body, "<pause><reset>")};
            CHECK_FALSE(w.askInSteps(unsafeHead()).ends_with(lastChunk));
        }
        SUBCASE("a whole one does")
        {
            w.a.script = w.b.script = {unframed("text/plain", body)};
            CHECK(w.ask(unsafeHead()).ends_with(lastChunk));
        }
    }
}

} // namespace azurehill::test
