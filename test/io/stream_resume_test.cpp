#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(const std::string &text, std::string_view part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

/// \returns a stream of the events \p from to \p to, either complete or broken off by the end of
/// its connection.
std::string events(int from, int to, bool isWhole)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = from; i <= to; ++i) {
        const std::string event = fmt::format("id: {}\ndata: e{}\n\n", i, i);
        text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    return text + (isWhole ? "0\r\n\r\n" : "<close>");
}

/// \returns \p stream with an incomplete further event before it breaks off.
std::string torn(std::string stream)
{
    const std::string part = "id: 9\ndata: to";
    const std::size_t end = stream.rfind("<close>");
    stream.insert(end, fmt::format("{:x}\r\n{}\r\n", part.size(), part));
    return stream;
}

/// \returns the turn's request head.
std::string chatHead(std::string_view more = "")
{
    return fmt::format("POST /chat/1 HTTP/1.1\r\nX-Azurehill-Request-Id: t1{}", more);
}

} // namespace

TEST_SUITE("streams that break off")
{
    // Guards against programs that fail when a replica fails in the middle of its answer.
    TEST_CASE("a stream goes on after the last event that the client has")
    {
        entry_fixture w;

        SUBCASE("at the replica that broke off, as no other may be asked while it lives")
        {
            w.model.script = {events(1, 2, false), events(3, 4, true)};
            const std::string answer = w.ask(chatHead(), "one;");
            CHECK(answer.ends_with("0\r\n\r\n"));
            for (int i = 1; i <= 4; ++i)
                CHECK(count(answer, fmt::format("data: e{}\n\n", i)) == 1);
            CHECK(count(answer, "HTTP/1.1 200") == 1);
            REQUIRE(w.model.arrived.size() == 2);
            CHECK_FALSE(contains(w.model.arrived[0], "Last-Event-Id"));
            CHECK(contains(w.model.arrived[1], "Last-Event-Id: 2\r\n"));
            CHECK(w.model.arrived[1].ends_with("one;"));
        }
        SUBCASE("without the part of an event that came last")
        {
            w.model.script = {torn(events(1, 2, false)), events(3, 3, true)};
            const std::string answer = w.ask(chatHead(), "one;");
            CHECK(answer.ends_with("0\r\n\r\n"));
            CHECK_FALSE(contains(answer, "data: to"));
            CHECK(contains(answer, "data: e3"));
        }
        SUBCASE("and an event that comes again is left out")
        {
            w.model.script = {events(1, 2, false), events(2, 3, true)};
            const std::string answer = w.ask(chatHead(), "one;");
            CHECK(count(answer, "data: e2") == 1);
            CHECK(count(answer, "data: e3") == 1);
        }
        SUBCASE("also if the client itself went on with it")
        {
            w.model.script = {events(5, 5, false), events(6, 6, true)};
            const std::string answer = w.ask(chatHead("\r\nLast-Event-Id: 4"), "one;");
            CHECK(answer.ends_with("0\r\n\r\n"));
            REQUIRE(w.model.arrived.size() == 2);
            CHECK(contains(w.model.arrived[0], "Last-Event-Id: 4\r\n"));
            CHECK(count(w.model.arrived[1], "Last-Event-Id") == 1);
            CHECK(contains(w.model.arrived[1], "Last-Event-Id: 5\r\n"));
        }
        SUBCASE("but not for ever")
        {
            for (int i = 0; i < 9; ++i)
                w.model.script.push_back(events(i + 1, i + 1, false));
            CHECK_FALSE(w.ask(chatHead(), "one;").ends_with("0\r\n\r\n"));
            CHECK(w.model.arrived.size() == 4);
        }
    }

    TEST_CASE("a replica that is over is followed by another")
    {
        entry_fixture w;
        scripted_replica second(w.context, "i-n", "model");
        w.service->setReplicas({w.model.entry});
        w.model.script = {events(1, 1, false)};
        second.script = {events(2, 2, true)};
        // The first replica accepts no connections once its stream has broken off.
        w.model.onReply = [&] {
            w.model.closeAcceptor();
            w.service->setReplicas({w.model.entry, second.entry});
        };
        const std::string answer = w.ask(chatHead(), "one;");
        CHECK(answer.ends_with("0\r\n\r\n"));
        CHECK(contains(answer, "data: e2"));
        REQUIRE(second.arrived.size() == 1);
        CHECK(contains(second.arrived[0], "Last-Event-Id: 1\r\n"));
    }

    // Guards against a request that runs at two replicas, since a refusal at the first one hides
    // that it may have run there.
    TEST_CASE("a refusal of a repeated send does not undo the attempt")
    {
        entry_fixture w;
        scripted_replica second(w.context, "i-n", "model");
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Azurehill-Request-Id: ID\r\nX-Azurehill-Not-Run: full\r\n"
                                    "Content-Length: 0\r\n\r\n";
        for (scripted_replica *replica : {&w.model, &second})
            replica->script = {"", refusal};
        w.service->setReplicas({w.model.entry, second.entry});
        const std::string answer = w.ask(chatHead(), "one;");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(w.model.arrived.size() + second.arrived.size() == 2);
        CHECK((w.model.arrived.empty() || second.arrived.empty()));
    }

    // Guards against an answer that is cut off although its replica is only overloaded.
    TEST_CASE("a silent replica is waited for as long as it takes connections")
    {
        entry_fixture w;
        std::string stream = events(1, 2, true);
        stream.insert(stream.find("id: 2") - 4, scripted_replica::pauseMark);
        w.model.script = {stream};

        SUBCASE("a busy one")
        {
            const std::string answer = w.askInSteps(chatHead(), "one;");
            CHECK(contains(answer, "data: e2"));
            CHECK(answer.ends_with("0\r\n\r\n"));
            CHECK(w.model.arrived.size() == 1);
        }
        SUBCASE("a dead one is not")
        {
            w.model.onReply = [&] { w.model.closeAcceptor(); };
            const std::string answer = w.askInSteps(chatHead(), "one;");
            CHECK(contains(answer, "data: e1"));
            CHECK_FALSE(contains(answer, "data: e2"));
        }
    }
}

} // namespace azurehill::test
