#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"
#include "fake_store.h"

#include <rapidcheck.h>

namespace azurehill::test {

namespace {

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

/// \brief The turn ledger of one daemon, on a store shared with other daemons.
struct ledger_host
{
    explicit ledger_host(row_store &rows) : access(rows), ledger(access, {}) { }

    fake_store access;
    turn_ledger ledger;
};

/// \brief One turn of a program whose client keeps the history.
struct planned_turn
{
    std::string id;
    std::int64_t used = 0;
    /// Whether the daemon fails before it settles the turn.
    bool daemonDies = false;
};

constexpr std::int64_t maxTurnTokens = 50;
constexpr std::int64_t programBudget = 300;

/// \brief Reserves, runs and settles \p turn at \p host, and adds its output to \p deliveredTokens.
awaitable<void> runTurn(ledger_host &host, planned_turn turn, std::int64_t &deliveredTokens,
                        int &turnsInFlight)
{
    const program_id program{"p"};
    const turn_claim claim{{turn.id},  program, programBudget, maxTurnTokens,
                           seconds(5), true,    seconds(60)};
    co_await host.ledger.refresh(program, runtime_clock::now() + seconds(1));
    const auto held = co_await host.ledger.reserve(claim, runtime_clock::now() + seconds(1));
    if (held)
        deliveredTokens += turn.used;
    const bool mayBeHeld = held || held.error() == turn_refusal::InDoubt;
    if (mayBeHeld && !turn.daemonDies)
        co_await host.ledger.settleHold(claim, held ? turn.used : 0);
    --turnsInFlight;
}

} // namespace

TEST_SUITE("turns whose callers keep the history")
{
    // Guards against programs that spend a multiple of their budget if their history is not stored.
    TEST_CASE("a budget holds")
    {
        entry_fixture w;
        w.model.script = {scripted_replica::stream(5)};
        CHECK(statusOf(w.chat("t1", "one;", 45)) == 200);

        SUBCASE("at the daemon that spent it")
        {
            CHECK(statusOf(w.chat("t2", "one;two;", 45)) == 402);
            CHECK(w.model.arrived.size() == 1);
        }
        SUBCASE("at a daemon that knows nothing")
        {
            w.restart();
            CHECK(statusOf(w.chat("t2", "one;two;", 45)) == 402);
            CHECK(w.model.arrived.size() == 1);
        }
        SUBCASE("and what a turn did not use is given back")
        {
            w.model.script = {scripted_replica::stream(5)};
            CHECK(statusOf(w.chat("t2", "one;two;", 60)) == 200);
        }
    }

    // Guards against a store write at the end of each turn, and against unsettled holds that
    // exhaust the budget.
    TEST_CASE("ends are settled once half of the budget is committed")
    {
        entry_fixture w;
        int writes = 0;
        w.store.nextTrouble = [&](std::string_view path) {
            writes += path == "/azurehill/rows-tx" ? 1 : 0;
            return store_trouble::None;
        };
        const auto run = [&](int turns, int budget) {
            for (int i = 0; i < turns; ++i) {
                w.model.script = {scripted_replica::stream(2)};
                CHECK(statusOf(w.chat("t" + std::to_string(i), "one;", budget)) == 200);
            }
        };

        SUBCASE("a program with room makes one write a turn")
        {
            run(5, 400);
            CHECK(writes == 5);
        }
        SUBCASE("one with little room is charged what its turns used")
        {
            run(8, 120);
            CHECK(writes > 8);
        }
    }

    // Guards against tokens of an incomplete response that are not charged.
    TEST_CASE("a turn that broke off is charged what was handed out")
    {
        entry_fixture w;
        std::string broken = scripted_replica::stream(5);
        broken.resize(broken.size() - 5);
        w.model.script = {broken + "<close>", "", "", ""};
        CHECK_FALSE(w.chat("t1", "one;", 45).ends_with("0\r\n\r\n"));
        CHECK(statusOf(w.chat("t2", "one;two;", 45)) == 402);
    }

    // Guards against charging turns that did not run.
    TEST_CASE("a turn that no replica ran costs nothing")
    {
        entry_fixture w;
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "X-Azurehill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        for (int i = 0; i < 3; ++i) {
            w.model.script = {refusal};
            CHECK(statusOf(w.chat("t" + std::to_string(i), "one;", 45)) == 503);
        }
        w.model.script = {scripted_replica::stream(1)};
        CHECK(statusOf(w.chat("t9", "one;", 45)) == 200);
    }

    // Guards against turns that run without a reservation while the store is unavailable.
    TEST_CASE("no turn runs that the store did not hold")
    {
        entry_fixture w;
        w.store.nextTrouble = [](std::string_view) { return store_trouble::Unavailable; };
        CHECK(statusOf(w.chat("t1", "one;")) == 503);
        CHECK(w.model.arrived.empty());
    }

    // Guards against changes of the prompt by the daemon.
    TEST_CASE("the replica reads what the caller sent")
    {
        entry_fixture w;
        w.model.script = {scripted_replica::stream(1), scripted_replica::stream(1)};
        CHECK(statusOf(w.chat("t1", "one;")) == 200);
        CHECK(statusOf(w.chat("t2", "one;e1;two;")) == 200);
        REQUIRE(w.model.arrived.size() == 2);
        CHECK(w.model.arrived[1].ends_with("\r\n\r\none;e1;two;"));
    }

    // Guards against budgets that are exceeded due to parallel turns, lost responses and failed
    // daemons.
    TEST_CASE("whatever the store does and whichever daemon dies, a budget holds")
    {
        CHECK(rc::check("handed tokens stay within the budget", [] {
            row_store rows;
            asio::io_context context;
            constexpr int turns = 16;
            std::deque<ledger_host> hosts;
            for (int i = 0; i < 4; ++i)
                hosts.emplace_back(rows);
            const auto faults = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 14));
            const auto dies = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 6));
            std::size_t nextFault = 0;
            for (ledger_host &h : hosts) {
                h.access.nextFault = [&] {
                    const int n = faults[nextFault++ % faults.size()];
                    return n < 6 ? static_cast<store_fault>(n) : store_fault::None;
                };
            }
            std::int64_t deliveredTokens = 0;
            int turnsInFlight = 0;
            const auto scenario = [&]() -> awaitable<void> {
                const asio::any_io_executor executor = co_await asio::this_coro::executor;
                for (int i = 0; i < turns; ++i) {
                    const std::size_t hostIndex
                        = std::size_t(faults[std::size_t(i)]) % hosts.size();
                    const bool daemonDies = dies[std::size_t(i)] == 0;
                    planned_turn turn{"t" + std::to_string(i), 20 + 2 * faults[std::size_t(i) + 24],
                                      daemonDies};
                    ++turnsInFlight;
                    spawn(executor, "turn",
                          runTurn(hosts[hostIndex], turn, deliveredTokens, turnsInFlight));
                    // Up to three turns in parallel.
                    while (turnsInFlight > dies[std::size_t(i)] % 3)
                        co_await sleepFor(milliseconds(5));
                    for (ledger_host &h : hosts)
                        h.access.applyDelayedWrites();
                }
            };
            const paused_clock pause;
            runInSteps(context, scenario(), milliseconds(250));
            RC_ASSERT(deliveredTokens <= programBudget);
        }));
    }
}

} // namespace azurehill::test
