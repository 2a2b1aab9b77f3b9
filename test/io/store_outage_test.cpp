#include "entry_fixture.h"
#include "fake_store.h"
#include "turns/turns.h"

#include <doctest/doctest.h>

namespace azurehill::test {

namespace {

constexpr duration tick = milliseconds(10);

time_point later(duration d)
{
    return runtime_clock::now() + d;
}

turn_claim claimFor(const char *id)
{
    turn_claim claim;
    claim.id = {id};
    claim.program = {"p"};
    claim.budgetTokens = 1000;
    claim.maxOutputTokens = 50;
    return claim;
}

turn_ptr turnOf(const turn_claim &claim)
{
    auto t = std::make_shared<turn>();
    t->id = claim.id;
    t->program = claim.program;
    t->input = "in;";
    t->output = "out\n";
    return t;
}

/// \brief Fixture with a daemon's turn ledger on a store that can become unavailable.
struct outage_fixture
{
    void makeUnavailable()
    {
        access.nextFault = [] { return store_fault::RequestDropped; };
        access.reachable = false;
    }

    void makeAvailable()
    {
        access.nextFault = [] { return store_fault::None; };
        access.reachable = true;
    }

    asio::io_context context;
    row_store rows;
    fake_store access{rows};
    turn_ledger ledger{access, {}};
};

awaitable<void> simulateOutage(outage_fixture &w, duration time)
{
    w.makeUnavailable();
    co_await sleepFor(time);
    w.makeAvailable();
}

} // namespace

TEST_SUITE("store outage")
{
    TEST_CASE("programs go on as soon as the store is back")
    {
        SUBCASE("a turn that was refused before it was held leaves no write behind")
        {
            // Regression test: the store was unavailable for seven seconds, and 3,074 turns
            // failed with `store_unavailable` after 0 to 1 ms. For each of them a write was still
            // being retried, although the store had reported for every call that it had no
            // effect. All of these writes reached the store in the second of its recovery,
            // together with the retried turns.
            entry_fixture w;
            int writes = 0;
            w.store.nextTrouble = [&](std::string_view path) {
                writes += path == "/azurehill/rows-tx" ? 1 : 0;
                return store_trouble::Unavailable;
            };
            constexpr int untilUnreachable = 2;
            CHECK(w.turn("t1", "", "one;").starts_with("HTTP/1.1 503"));
            CHECK(w.turn("t1", "", "one;").starts_with("HTTP/1.1 503"));
            const std::string plain = w.ask("GET /safe/x HTTP/1.1\r\nX-Azurehill-Request-Id: r1");
            CHECK(plain.starts_with("HTTP/1.1 200"));
            CHECK(writes == untilUnreachable);
        }
        SUBCASE("a turn waits for its program's account no longer than for the store")
        {
            // Regression test: a program retried two seconds after the outage and failed with
            // `store_unavailable` after 11.8 s, because the settlement of an earlier turn held
            // the program's account all that time.
            outage_fixture w;
            w.makeUnavailable();
            spawn(w.context.get_executor(), "settle", w.ledger.settleHold(claimFor("t1"), 0));
            duration waited{};
            auto story = [&]() -> awaitable<void> {
                const time_point began = runtime_clock::now();
                co_await sleepFor(tick);
                w.access.reachable = true;
                turn_claim second = claimFor("t2");
                const auto held = co_await w.ledger.reserve(std::move(second), later(seconds(1)));
                CHECK_FALSE(held);
                waited = runtime_clock::now() - began;
            };
            const paused_clock pause;
            runInSteps(w.context, story(), tick);
            CHECK(waited < milliseconds(1500));
        }
        SUBCASE("the end of an answer is written at once when the store answers again")
        {
            // Regression test: the store did not respond for four seconds. 567 responses were cut
            // off while their final write waited for it, more than 460 of them after its
            // recovery: each final write was sleeping for up to 640 ms, or waiting for a call
            // lost in the outage, until its client disconnected.
            outage_fixture w;
            duration waited{};
            auto story = [&]() -> awaitable<void> {
                const turn_claim claim = claimFor("t1");
                const auto held = co_await w.ledger.reserve(claim, later(seconds(1)));
                REQUIRE(held);
                constexpr duration outage = milliseconds(2200);
                const time_point back = later(outage);
                spawn(w.context.get_executor(), "outage", simulateOutage(w, outage));
                co_await sleepFor(milliseconds(200));
                const turn_ptr t = turnOf(claim);
                const auto done = co_await w.ledger.commit(t, 10, seconds(60), later(seconds(4)));
                CHECK(done);
                waited = runtime_clock::now() - back;
            };
            const paused_clock pause;
            runInSteps(w.context, story(), tick);
            CHECK(waited <= milliseconds(100));
        }
    }
}

} // namespace azurehill::test
