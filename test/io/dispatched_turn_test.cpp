#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>

namespace azurehill::test {

namespace {

constexpr duration step = milliseconds(5);
constexpr std::int64_t maxOutputTokens = 40;

/// \brief One request, and its answer as far as it has arrived.
struct asked_turn
{
    std::string answer;
    bool isDone = false;

    int status() const { return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0; }
    bool contains(const std::string &text) const { return answer.find(text) != std::string::npos; }
};

using asked_turn_ptr = std::shared_ptr<asked_turn>;

awaitable<void> askInto(asio::io_context &context, std::uint16_t port, std::string request,
                        asked_turn_ptr turn)
{
    turn->answer = co_await exchangeRaw(context, port, std::move(request));
    turn->isDone = true;
}

/// \brief An entry service that dispatches its own turns, on a paused clock.
struct dispatch_world
{
    explicit dispatch_world(int slots = 8)
    {
        entry.model.entry.slots = slots;
        setReplicas();
        setMembers();
    }

    void setReplicas()
    {
        entry.service->setReplicas({entry.a.entry, entry.b.entry, entry.model.entry});
    }
    /// \brief Sets the daemon as the only member, so that it is its own dispatcher.
    void setMembers()
    {
        member_state self;
        self.name = entry.settings.name;
        self.incarnation = 1;
        self.serving = true;
        self.cores = 1;
        entry.service->setMembers(self, {});
        // A dispatcher that starts collects renewals first.
        advance(milliseconds(400));
    }

    /// \brief Requests a turn without waiting for its answer.
    /// \param more further headers, each after a line end.
    asked_turn_ptr begin(const std::string &id, const std::string &program,
                         const std::string &more = "")
    {
        const std::string prompt = "one;";
        std::string request
            = fmt::format("POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                          "X-Azurehill-Request-Id: {}\r\nX-Azurehill-Program-Id: {}\r\n"
                          "X-Azurehill-Session-Id: {}\r\nX-Azurehill-Token-Budget: {}\r\n"
                          "X-Azurehill-Token-Usage: 100,{}{}\r\nContent-Length: {}\r\n\r\n{}",
                          id, program, id, budget, maxOutputTokens, more, prompt.size(), prompt);
        auto turn = std::make_shared<asked_turn>();
        spawn(entry.context.get_executor(), "ask",
              askInto(entry.context, entry.port, std::move(request), turn));
        return turn;
    }
    /// \brief Requests a turn and waits for its answer.
    asked_turn_ptr chat(const std::string &id, const std::string &program = "p",
                        const std::string &more = "")
    {
        asked_turn_ptr turn = begin(id, program, more);
        waitFor(*turn);
        return turn;
    }

    void waitFor(const asked_turn &turn)
    {
        const time_point until = runtime_clock::now() + seconds(8);
        while (!turn.isDone && runtime_clock::now() < until)
            advance(step);
        CHECK(turn.isDone);
    }
    void advance(duration time)
    {
        auto wait = [](duration d) -> awaitable<void> { co_await sleepFor(d); };
        runInSteps(entry.context, wait(time), step);
    }

    const paused_clock clock;
    std::int64_t budget = 1000;
    entry_fixture entry;
};

/// \returns a stream that begins after scripted_replica::silence.
std::string slowStream()
{
    return std::string(scripted_replica::pauseMark) + scripted_replica::stream(2);
}

} // namespace

TEST_SUITE("turns on a dispatcher's slots")
{
    // Guards against a crashed replica whose stream is taken for complete when its connection ends.
    TEST_CASE("a dispatched stream that ends with its connection inside an event goes on")
    {
        dispatch_world w;
        const std::string head = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                                 "X-Azurehill-Server-Stamp: stamp\r\n"
                                 "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        w.entry.model.script = {head + "id: 1\ndata: e1\n\nid: 2\ndata: to<close>",
                                head + "id: 2\ndata: e2\n\n<close>"};
        const asked_turn_ptr turn = w.chat("t1");
        CHECK(turn->status() == 200);
        CHECK(turn->contains("data: e1\n\n"));
        CHECK(turn->contains("data: e2\n\n"));
        CHECK_FALSE(turn->contains("data: to"));
        CHECK(turn->answer.ends_with("0\r\n\r\n"));
        CHECK(w.entry.model.arrived.size() == 2);
    }

    // Guards against a read and a write of the store for each turn.
    TEST_CASE("a turn is served without a store call of its own after the first")
    {
        dispatch_world w;
        w.entry.model.script = {scripted_replica::stream(2), scripted_replica::stream(3)};
        const int callsAtStart = w.entry.store.calls();
        const asked_turn_ptr first = w.chat("t1");
        CHECK(first->status() == 200);
        CHECK(first->contains("data: e2"));
        const int calls = w.entry.store.calls();
        CHECK(calls - callsAtStart == 2);

        SUBCASE("while the store is available")
        {
            CHECK(w.chat("t2")->contains("data: e3"));
            CHECK(w.entry.store.calls() == calls);
        }
        SUBCASE("and while it is not")
        {
            w.entry.store.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
            CHECK(w.chat("t2")->contains("data: e3"));
        }
        REQUIRE(w.entry.model.arrived.size() == 2);
        CHECK(w.entry.model.arrived[1].ends_with("\r\n\r\none;"));
    }

    // Guards against engines that queue requests while a dispatcher could order them.
    TEST_CASE("a turn waits while all slots of the replica are taken")
    {
        dispatch_world w(1);
        w.entry.model.script = {slowStream(), scripted_replica::stream(2)};
        const asked_turn_ptr first = w.begin("t1", "p");
        w.advance(milliseconds(100));
        REQUIRE(w.entry.model.arrived.size() == 1);

        SUBCASE("and is sent when one is free")
        {
            const asked_turn_ptr second = w.begin("t2", "p");
            w.advance(milliseconds(500));
            CHECK(w.entry.model.arrived.size() == 1);
            w.waitFor(*second);
            CHECK(second->status() == 200);
        }
        SUBCASE("and is refused as busy after two fifths of its time")
        {
            const asked_turn_ptr second
                = w.chat("t2", "q", "\r\nX-Azurehill-Request-Deadline: 1000");
            CHECK(second->status() == 503);
            CHECK(second->contains("engines_busy"));
            CHECK(second->contains("Retry-After: 0.100"));
            CHECK(w.entry.model.arrived.size() == 1);
        }
        w.waitFor(*first);
        CHECK(first->status() == 200);
    }

    // Guards against slots that turns of no more use take from others.
    TEST_CASE("while others wait, a turn is refused if its program can't end in time")
    {
        dispatch_world w(1);
        w.entry.model.script = {scripted_replica::stream(2), slowStream(),
                                scripted_replica::stream(2), scripted_replica::stream(2)};
        CHECK(w.chat("t0", "q", "\r\nX-Azurehill-Finish-Ms: 200")->status() == 200);
        w.advance(milliseconds(500));
        const asked_turn_ptr first = w.begin("t1", "p");
        w.advance(milliseconds(100));
        REQUIRE(w.entry.model.arrived.size() == 2);
        SUBCASE("and waits for a slot if it is the only one")
        {
            CHECK(w.chat("t2", "q", "\r\nX-Azurehill-Finish-Ms: 0")->status() == 200);
            CHECK(first->status() == 200);
            return;
        }
        const asked_turn_ptr waiting = w.begin("t3", "r");
        w.advance(milliseconds(20));
        const time_point began = runtime_clock::now();
        const asked_turn_ptr lost = w.chat("t2", "q", "\r\nX-Azurehill-Finish-Ms: 0");
        CHECK(runtime_clock::now() - began < milliseconds(100));
        CHECK(lost->status() == 503);
        CHECK(lost->contains("cannot_finish"));
        CHECK(lost->contains("Retry-After: 1.300"));
        CHECK(w.entry.model.arrived.size() == 2);
        w.waitFor(*first);
        CHECK(first->status() == 200);
        w.waitFor(*waiting);
        CHECK(waiting->status() == 200);
    }

    // Guards against turns that run without a durable hold.
    TEST_CASE("a program does not begin while the store is away")
    {
        dispatch_world w;
        w.entry.store.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
        const asked_turn_ptr turn = w.chat("t1");
        CHECK(turn->status() == 503);
        CHECK(turn->contains("tokens_not_held"));
        CHECK(turn->contains("Retry-After: 2.000"));
        CHECK(w.entry.model.arrived.empty());
    }

    // Guards against programs that spend more than their budget.
    TEST_CASE("a budget that is spent gives 402")
    {
        dispatch_world w;
        w.budget = 45;
        w.entry.model.script = {scripted_replica::stream(5)};
        CHECK(w.chat("t1")->status() == 200);
        const asked_turn_ptr second = w.chat("t2");
        CHECK(second->status() == 402);
        CHECK(second->contains("budget_spent"));
        CHECK(w.entry.model.arrived.size() == 1);
    }

    // Guards against tokens of turns that did not run.
    TEST_CASE("what a turn did not use is left for the next")
    {
        dispatch_world w;
        w.budget = 60;
        w.entry.model.script = {scripted_replica::stream(5), scripted_replica::stream(5),
                                scripted_replica::stream(5)};
        CHECK(w.chat("t1")->status() == 200);
        CHECK(w.chat("t2")->status() == 200);
        CHECK(w.chat("t3")->status() == 200);
        // 30 tokens are used.
        CHECK(w.chat("t4")->status() == 402);
    }

    // Guards against 502 for each connection that a replica resets, and against a request that runs
    // at two replicas.
    TEST_CASE("a replica that resets before it answers")
    {
        dispatch_world w;
        w.entry.b.entry.service = "model";
        w.setReplicas();
        const auto arrived = [&] {
            std::array<std::size_t, 2> counts{w.entry.model.arrived.size(),
                                              w.entry.b.arrived.size()};
            std::sort(counts.begin(), counts.end());
            return counts;
        };

        SUBCASE("is asked once more, and no other replica is asked")
        {
            w.entry.model.script = w.entry.b.script = {"", scripted_replica::stream(2)};
            const asked_turn_ptr turn = w.chat("t1");
            CHECK(turn->status() == 200);
            CHECK(turn->contains("data: e2"));
            CHECK(arrived() == std::array<std::size_t, 2>{0, 2});
        }
        SUBCASE("is not asked a third time")
        {
            w.entry.model.script = w.entry.b.script = {"", "", ""};
            CHECK(w.chat("t1")->status() == 502);
            CHECK(arrived() == std::array<std::size_t, 2>{0, 2});
        }
    }

    // Guards against a dispatcher's refusal that promises "not run" for a turn that a replica ran
    // before it ended.
    TEST_CASE("a turn that may have run gets no promise when no slot is left for another try")
    {
        dispatch_world w;
        w.entry.model.script = {""};
        w.entry.model.onReply = [&] {
            w.entry.model.closeAcceptor();
            w.entry.service->setReplicas({w.entry.a.entry, w.entry.b.entry});
        };
        const asked_turn_ptr turn = w.chat("t1", "p", "\r\nX-Azurehill-Request-Deadline: 1000");
        CHECK(w.entry.model.arrived.size() == 1);
        CHECK(turn->status() == 502);
        CHECK_FALSE(turn->contains("did not run"));
        CHECK_FALSE(turn->contains("Retry-After"));
    }

    // Guards against programs that end because a dispatcher that is gone holds tokens that no turn
    // used.
    TEST_CASE("the local path does not call a budget spent that a dispatcher holds")
    {
        dispatch_world w;
        w.budget = 60;
        w.entry.model.script = {scripted_replica::stream(2)};
        CHECK(w.chat("t1")->status() == 200);
        // Without members there is no dispatcher.
        w.entry.service->setMembers({}, {});
        const asked_turn_ptr second = w.chat("t2");
        CHECK(second->status() == 503);
        CHECK(second->contains("Retry-After: 2.000"));
        CHECK(w.entry.model.arrived.size() == 1);
    }

    // Guards against slots that stay taken after their turns.
    TEST_CASE("however a turn ends, its slot is free again")
    {
        dispatch_world w(1);

        SUBCASE("a complete answer")
        {
            w.entry.model.script = {scripted_replica::stream(2)};
        }
        SUBCASE("a failure of the replica")
        {
            w.entry.model.script = {"HTTP/1.1 500 Internal Server Error\r\n"
                                    "X-Azurehill-Request-Id: ID\r\n"
                                    "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: 0\r\n\r\n"};
        }
        SUBCASE("a replica that did not run it, and ran it when asked again")
        {
            w.entry.model.script = {"HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Azurehill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                                    scripted_replica::stream(2)};
        }
        SUBCASE("an answer that breaks off")
        {
            std::string broken = scripted_replica::stream(2);
            broken.resize(broken.size() - 5);
            w.entry.model.script = {broken + "<close>", "", "", "", ""};
        }
        w.chat("t1");
        w.entry.model.script = {scripted_replica::stream(1)};
        // A replica that failed is ejected for a second.
        w.advance(milliseconds(1500));
        const time_point began = runtime_clock::now();
        CHECK(w.chat("t2")->status() == 200);
        CHECK(runtime_clock::now() - began < milliseconds(300));
    }

    // Guards against deployments that depend on a dispatcher.
    TEST_CASE("a daemon without a dispatcher serves as before")
    {
        SUBCASE("because it knows no members yet")
        {
            entry_fixture w;
            w.model.script = {scripted_replica::stream(2)};
            const int callsAtStart = w.store.calls();
            CHECK(w.chat("t1", "one;").find("data: e2") != std::string::npos);
            CHECK(w.store.calls() - callsAtStart == 2);
        }
        SUBCASE("because the mechanism is off")
        {
            dispatch_world w;
            w.entry.settings.mechanisms.disable(mechanism::ProgramDispatch);
            w.entry.restart();
            w.setMembers();
            w.entry.model.script = {scripted_replica::stream(2), scripted_replica::stream(2)};
            CHECK(w.chat("t1")->contains("data: e2"));
            const int calls = w.entry.store.calls();
            CHECK(w.chat("t2")->contains("data: e2"));
            // Each turn holds its own tokens.
            CHECK(w.entry.store.calls() > calls);
        }
    }
}

} // namespace azurehill::test
