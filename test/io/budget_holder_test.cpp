#include "fake_store.h"
#include "loopback.h"
#include "turns/budget_holder.h"
#include "turns/turn_rows.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurehill::test {

namespace {

const program_id program{"p"};
constexpr duration step = milliseconds(5);
constexpr duration retention = seconds(60);

turn_claim claimOf(const std::string &id, std::int64_t budget, std::int64_t maxOutputTokens)
{
    return {{id}, program, budget, maxOutputTokens, seconds(5), false, retention};
}

/// \brief A daemon reduced to its token holds and the turn ledger of its local path.
struct holder_host
{
    holder_host(const asio::any_io_executor &executor, row_store &rows, std::string daemon,
                std::int64_t run)
        : name(std::move(daemon)), incarnation(run), access(rows), ledger(access, {}),
          holder(executor, ledger)
    {
        holder.setSelf({name}, incarnation);
    }

    /// \brief Cuts the daemon off the store, as its death does.
    void die()
    {
        access.reachable = false;
        access.nextFault = [] { return store_fault::Refused; };
    }

    std::string name;
    std::int64_t incarnation;
    fake_store access;
    turn_ledger ledger;
    budget_holder holder;
};

using holder_host_ptr = std::shared_ptr<holder_host>;
using reserve_result = tl::expected<void, turn_refusal>;

/// \brief Daemons that hold tokens of one program in a shared store.
struct holder_world
{
    explicit holder_world(std::int64_t programTokens) : budget(programTokens) { }

    holder_host &start(const std::string &name, std::int64_t incarnation = 1)
    {
        hosts.emplace_back(context.get_executor(), rows, name, incarnation);
        return hosts.back();
    }

    void advance(duration time, duration stepTime = step)
    {
        auto wait = [](duration d) -> awaitable<void> { co_await sleepFor(d); };
        runInSteps(context, wait(time), stepTime);
    }

    reserve_result reserve(holder_host &host, const std::string &id, std::int64_t maxOutputTokens,
                           const program_id &of = program)
    {
        reserve_result result;
        auto go = [&]() -> awaitable<void> {
            turn_claim claim = claimOf(id, budget, maxOutputTokens);
            claim.program = of;
            result
                = co_await host.holder.reserve(std::move(claim), runtime_clock::now() + seconds(1));
        };
        runInSteps(context, go(), step);
        return result;
    }

    /// \brief Reserves and settles a turn. \returns whether it was reserved.
    bool run(holder_host &host, const std::string &id, std::int64_t maxOutputTokens,
             std::int64_t used)
    {
        const bool isReserved = reserve(host, id, maxOutputTokens).has_value();
        if (isReserved)
            host.holder.settle(program, {id}, used);
        return isReserved;
    }

    /// \brief Stops \p host, with up to a second for its writes.
    void stop(holder_host &host)
    {
        auto go = [&]() -> awaitable<void> {
            co_await host.holder.release(runtime_clock::now() + seconds(1));
        };
        runInSteps(context, go(), step);
    }

    /// \returns the program's account as the store has it.
    token_account account() const
    {
        const row_page page = rows.read(turn_rows::programRange(program));
        for (const stored_row &row : page.rows) {
            if (turn_rows::isAccountRow(row.name))
                return decodeAccount(row.value).value_or(token_account());
        }
        return {};
    }

    const paused_clock clock;
    std::int64_t budget;
    row_store rows;
    asio::io_context context;
    std::deque<holder_host> hosts;
};

bool isRefused(const reserve_result &result, turn_refusal reason)
{
    return !result && result.error() == reason;
}

// The scenario of the property below.

constexpr int maxTurnTokens = 50;
constexpr std::int64_t programBudget = 300;
constexpr int daemons = 3;

enum class host_event { None, Dies, Stops };

/// \brief One turn of the program at one of the daemons.
struct planned_turn
{
    std::string id;
    std::size_t host = 0;
    /// Whether the turn takes the local path, which holds its own tokens in the store.
    bool isLocal = false;
    std::int64_t used = 0;
    duration lasts = duration::zero();
    /// Time until the next turn begins; zero if they begin together.
    duration pause = duration::zero();
    /// What happens to the daemon while the turn runs.
    host_event event = host_event::None;
};

/// \returns numbers from 0 to below \p end, evenly distributed from the first test on.
rc::Gen<int> evenly(int end)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

rc::Gen<planned_turn> anyTurn()
{
    return rc::gen::map(rc::gen::tuple(evenly(daemons), evenly(6), evenly(4 * maxTurnTokens),
                                       evenly(4), evenly(30), evenly(3)),
                        [](const auto &t) {
                            planned_turn turn;
                            turn.host = static_cast<std::size_t>(std::get<0>(t));
                            turn.isLocal = std::get<1>(t) == 0;
                            // Most turns use their maximum, so that the budget is used up.
                            turn.used = std::min<std::int64_t>(std::get<2>(t), maxTurnTokens);
                            turn.lasts = milliseconds(100) * std::get<3>(t);
                            const int event = std::get<4>(t);
                            turn.event
                                = event < 3 ? static_cast<host_event>(event) : host_event::None;
                            turn.pause = std::get<5>(t) == 0 ? milliseconds(100) : duration::zero();
                            return turn;
                        });
}

/// \brief Daemons that die, stop and restart on a store with faults.
struct faulty_world
{
    faulty_world(asio::io_context &ioContext, std::vector<int> faultNumbers)
        : context(ioContext), faults(std::move(faultNumbers))
    {
        for (int i = 0; i < daemons; ++i)
            current.push_back(start("d" + std::to_string(i), 1));
    }

    holder_host_ptr start(std::string name, std::int64_t incarnation)
    {
        auto host = std::make_shared<holder_host>(context.get_executor(), rows, std::move(name),
                                                  incarnation);
        host->access.nextFault = [this] { return nextFault(); };
        all.push_back(host);
        return host;
    }

    void restart(std::size_t i)
    {
        current[i]->die();
        current[i] = start(current[i]->name, current[i]->incarnation + 1);
    }

    store_fault nextFault()
    {
        constexpr int kinds = 6;
        const int n = faults[next++ % faults.size()];
        return n < kinds ? static_cast<store_fault>(n) : store_fault::None;
    }

    /// \brief The store is unavailable for every fifth second.
    void updateReachability()
    {
        const auto second = runtime_clock::now().time_since_epoch() / seconds(1);
        for (const holder_host_ptr &host : current)
            host->access.reachable = second % 5 != 0;
    }

    void applyDelayedWrites()
    {
        for (const holder_host_ptr &host : all)
            host->access.applyDelayedWrites();
    }

    asio::io_context &context;
    row_store rows;
    std::vector<int> faults;
    std::size_t next = 0;
    std::vector<holder_host_ptr> current;
    /// All daemons, the dead ones too: writes that they sent may still arrive.
    std::vector<holder_host_ptr> all;
    std::int64_t usedTokens = 0;
    int turnsInFlight = 0;
};

awaitable<void> runLocally(faulty_world &w, holder_host_ptr host, planned_turn turn)
{
    const turn_claim claim = claimOf(turn.id, programBudget, maxTurnTokens);
    turn_claim copy = claim;
    const auto held
        = co_await host->ledger.reserve(std::move(copy), runtime_clock::now() + seconds(1));
    if (held)
        w.usedTokens += turn.used;
    co_await sleepFor(turn.lasts);
    const bool mayBeHeld = held || held.error() == turn_refusal::InDoubt;
    if (mayBeHeld)
        co_await host->ledger.settleHold(claim, held ? turn.used : 0);
}

awaitable<void> runOnHold(faulty_world &w, holder_host_ptr host, planned_turn turn)
{
    const turn_claim claim = claimOf(turn.id, programBudget, maxTurnTokens);
    bool isReserved = host->holder.tryReserve(claim);
    if (!isReserved) {
        turn_claim copy = claim;
        const auto reserved
            = co_await host->holder.reserve(std::move(copy), runtime_clock::now() + seconds(1));
        isReserved = reserved.has_value();
    }
    if (!isReserved)
        co_return;
    w.usedTokens += turn.used;
    co_await sleepFor(turn.lasts);
    host->holder.settle(program, claim.id, turn.used);
}

awaitable<void> runTurn(faulty_world &w, planned_turn turn)
{
    const holder_host_ptr host = w.current[turn.host];
    if (turn.isLocal)
        co_await runLocally(w, host, std::move(turn));
    else
        co_await runOnHold(w, host, std::move(turn));
    --w.turnsInFlight;
}

awaitable<void> stopHost(faulty_world &w, std::size_t i)
{
    const holder_host_ptr host = w.current[i];
    co_await host->holder.release(runtime_clock::now() + milliseconds(500));
    if (w.current[i] == host)
        w.restart(i);
}

awaitable<void> playTurns(faulty_world &w, std::vector<planned_turn> turns)
{
    constexpr int maxParallel = 8;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    for (planned_turn &turn : turns) {
        ++w.turnsInFlight;
        const host_event event = turn.event;
        const std::size_t host = turn.host;
        const duration pause = turn.pause;
        spawn(executor, "turn", runTurn(w, std::move(turn)));
        if (pause > duration::zero())
            co_await sleepFor(pause);
        if (event == host_event::Dies)
            w.restart(host);
        else if (event == host_event::Stops)
            spawn(executor, "stop", stopHost(w, host));
        while (w.turnsInFlight >= maxParallel)
            co_await sleepFor(milliseconds(30));
        w.updateReachability();
        w.applyDelayedWrites();
    }
}

} // namespace

TEST_SUITE("tokens held for several turns")
{
    TEST_CASE("the sizes of the holds")
    {
        program_budget budget(1000);

        SUBCASE("half of the budget first, then quarters")
        {
            CHECK(budget.nextHold(50) == 500);
            budget.onHeld(500, 0);
            REQUIRE(budget.tryReserve({"t0"}, 480));
            budget.settle({"t0"}, 480);
            CHECK(budget.nextHold(50) == 250);
            budget.onHeld(250, 480);
            REQUIRE(budget.tryReserve({"t1"}, 240));
            budget.settle({"t1"}, 240);
            CHECK(budget.nextHold(50) == 250);
        }
        SUBCASE("at least one turn first, then two")
        {
            CHECK(budget.nextHold(600) == 600);
            budget.onHeld(600, 0);
            REQUIRE(budget.tryReserve({"t0"}, 600));
            budget.settle({"t0"}, 100);
            CHECK(budget.nextHold(400) == 800);
        }
        SUBCASE("the rest at last, if that is enough")
        {
            budget.onHeld(900, 0);
            REQUIRE(budget.tryReserve({"t0"}, 900));
            budget.settle({"t0"}, 900);
            CHECK(budget.nextHold(100) == 100);
            CHECK(budget.nextHold(101) == 0);
        }
        SUBCASE("turns in progress are covered by the next hold")
        {
            budget.onHeld(500, 0);
            REQUIRE(budget.tryReserve({"t0"}, 300));
            REQUIRE(budget.tryReserve({"t1"}, 200));
            budget.settle({"t1"}, 200);
            CHECK(budget.nextHold(50) == 550);
            budget.onHeld(550, 200);
            CHECK(budget.outstanding() == 300);
            CHECK(budget.charged() == 200);
        }
    }

    // Guards against turns that are charged twice or not at all.
    TEST_CASE("what turns used and may still use stays within what is held")
    {
        CHECK(rc::check("any reservations and settlements", [] {
            constexpr std::int64_t tokens = 1000;
            constexpr std::size_t eventCount = 60;
            program_budget budget(tokens);
            std::map<std::string, std::int64_t> outstanding;
            std::int64_t used = 0;
            for (std::size_t i = 0; i < eventCount; ++i) {
                const std::string id = "t" + std::to_string(*rc::gen::inRange(0, 8));
                const std::int64_t amount = *rc::gen::inRange<std::int64_t>(0, 120);
                const int event = *rc::gen::inRange(0, 3);
                if (event == 0) {
                    const std::int64_t next = budget.nextHold(amount);
                    if (next > 0)
                        budget.onHeld(next, budget.used());
                } else if (event == 1) {
                    const bool wasReserved = outstanding.contains(id);
                    if (budget.tryReserve({id}, amount) && !wasReserved)
                        outstanding[id] = amount;
                } else if (outstanding.contains(id)) {
                    used += std::min(outstanding[id], amount);
                    outstanding.erase(id);
                    budget.settle({id}, amount);
                    budget.settle({id}, amount);
                }
                RC_ASSERT(budget.charged() + budget.used() == used);
                RC_ASSERT(budget.hasOutstanding() == !outstanding.empty());
                RC_ASSERT(budget.used() + budget.outstanding() <= budget.held());
                RC_ASSERT(budget.charged() + budget.held() <= tokens);
            }
        }));
    }

    // Guards against a read and a write of the program's account for each of its turns.
    TEST_CASE("one read and one write serve several turns")
    {
        holder_world w(1000);
        holder_host &host = w.start("d0");
        REQUIRE(w.reserve(host, "t0", 50).has_value());
        CHECK(host.access.calls == 2);
        CHECK(w.account().committed() == 500);
        host.holder.settle(program, {"t0"}, 40);
        for (int i = 1; i < 8; ++i) {
            const std::string id = "t" + std::to_string(i);
            CHECK(host.holder.tryReserve(claimOf(id, 1000, 50)));
            host.holder.settle(program, {id}, 40);
        }
        CHECK(host.access.calls == 2);

        SUBCASE("and the next hold is made before a turn needs it")
        {
            for (int i = 8; i < 20; ++i) {
                const std::string id = "t" + std::to_string(i);
                CHECK(host.holder.tryReserve(claimOf(id, 1000, 50)));
                w.advance(milliseconds(50));
                host.holder.settle(program, {id}, 40);
            }
            CHECK(w.account().holds.size() == 1);
            CHECK(w.account().committed() >= 20 * 40);
            CHECK(w.account().committed() <= 1000);
            CHECK(host.access.calls == 4);
        }
        SUBCASE("and turns that begin together make one further hold")
        {
            CHECK(host.holder.tryReserve(claimOf("a", 1000, 100)));
            CHECK(host.holder.tryReserve(claimOf("b", 1000, 40)));
            w.advance(milliseconds(50));
            CHECK(w.account().holds.size() == 1);
            CHECK(host.access.calls == 3);
        }
    }

    // Guards against parallel first turns of a program that each make a hold.
    TEST_CASE("turns that wait for the first hold share it")
    {
        holder_world w(1000);
        holder_host &host = w.start("d0");
        int reserved = 0;
        auto go = [&](std::string id) -> awaitable<void> {
            turn_claim claim = claimOf(id, 1000, 50);
            const auto result
                = co_await host.holder.reserve(std::move(claim), runtime_clock::now() + seconds(1));
            reserved += result ? 1 : 0;
        };
        for (int i = 0; i < 4; ++i)
            spawn(w.context.get_executor(), "turn", go("t" + std::to_string(i)));
        w.advance(milliseconds(100));
        CHECK(reserved == 4);
        CHECK(host.access.calls == 2);
    }

    // Guards against engines that idle through an outage of the store.
    TEST_CASE("programs go on through a store outage on what is held")
    {
        holder_world w(400);
        holder_host &host = w.start("d0");
        REQUIRE(w.run(host, "t0", 50, 50));
        host.access.reachable = false;
        host.access.nextFault = [] { return store_fault::Refused; };
        CHECK(w.run(host, "t1", 50, 50));
        CHECK(w.run(host, "t2", 50, 50));
        CHECK(w.run(host, "t3", 50, 50));

        SUBCASE("and no further")
        {
            CHECK(isRefused(w.reserve(host, "t4", 50), turn_refusal::StoreUnavailable));
        }
        SUBCASE("and no program begins")
        {
            CHECK(isRefused(w.reserve(host, "t4", 50, {"q"}), turn_refusal::StoreUnavailable));
        }
        SUBCASE("and when the store is back they hold more")
        {
            CHECK(isRefused(w.reserve(host, "t4", 50), turn_refusal::StoreUnavailable));
            host.access.reachable = true;
            host.access.nextFault = [] { return store_fault::None; };
            CHECK(w.run(host, "t5", 50, 50));
        }
    }

    // Guards against turns that run on a hold of which nobody knows whether it was written.
    TEST_CASE("a hold without an answer is not used until it is known")
    {
        holder_world w(400);
        holder_host &host = w.start("d0");
        int writes = 0;
        host.access.nextFault
            = [&] { return ++writes == 1 ? store_fault::None : store_fault::DelayedWrite; };
        CHECK(isRefused(w.reserve(host, "t0", 50), turn_refusal::InDoubt));
        CHECK_FALSE(host.holder.tryReserve(claimOf("t0", 400, 50)));
        host.access.applyDelayedWrites();
        host.access.nextFault = [] { return store_fault::None; };
        w.advance(seconds(3));
        CHECK(w.account().committed() == 200);
        // The write that is made again finds the first one, and holds no more.
        CHECK(w.run(host, "t1", 50, 50));
        CHECK(w.account().holds.size() == 1);
        CHECK(w.account().committed() == 200);
    }

    // Guards against programs that end early although their budget is not spent.
    TEST_CASE("a budget is spent")
    {
        holder_world w(100);
        holder_host &host = w.start("d0");
        REQUIRE(w.run(host, "t0", 40, 40));
        REQUIRE(w.run(host, "t1", 40, 35));
        CHECK(w.account().committed() == 100);

        SUBCASE("when no hold of another dispatcher may be unused; what was used is written then")
        {
            CHECK(isRefused(w.reserve(host, "t2", 40), turn_refusal::BudgetSpent));
            w.advance(milliseconds(100));
            CHECK(w.account().spent == 75);
            CHECK(w.account().holds.empty());
            CHECK(w.run(host, "t3", 25, 25));
            CHECK(isRefused(w.reserve(host, "t4", 1), turn_refusal::BudgetSpent));
        }
        SUBCASE("and the answer does not wait for a store that is away")
        {
            host.access.nextFault = [] { return store_fault::RequestDropped; };
            const time_point began = runtime_clock::now();
            CHECK(isRefused(w.reserve(host, "t2", 40), turn_refusal::BudgetSpent));
            CHECK(runtime_clock::now() - began <= milliseconds(1100));
        }
    }

    TEST_CASE("a budget of which another dispatcher holds a part")
    {
        holder_world w(100);
        holder_host &first = w.start("d0");
        REQUIRE(w.run(first, "t0", 40, 10));
        CHECK(w.account().committed() == 50);

        SUBCASE("is not called spent")
        {
            holder_host &second = w.start("d1");
            REQUIRE(w.run(second, "t1", 40, 40));
            CHECK(isRefused(w.reserve(second, "t2", 40), turn_refusal::StoreUnavailable));

            SUBCASE("until that dispatcher has stopped and written what was used")
            {
                w.stop(first);
                CHECK(w.run(second, "t3", 40, 40));
                CHECK(isRefused(w.reserve(second, "t4", 40), turn_refusal::BudgetSpent));
            }
        }
        SUBCASE("is not called spent by the next run of the same daemon")
        {
            first.die();
            holder_host &restarted = w.start("d0", 2);
            REQUIRE(w.run(restarted, "t1", 40, 40));
            CHECK(isRefused(w.reserve(restarted, "t2", 40), turn_refusal::StoreUnavailable));
        }
    }

    // Guards against budgets that a restart of all daemons makes smaller by what they held.
    TEST_CASE("a stop writes what was used")
    {
        holder_world w(400);
        holder_host &host = w.start("d0");
        REQUIRE(w.run(host, "t0", 50, 30));
        REQUIRE(w.run(host, "t1", 50, 20));

        SUBCASE("in place of the holds")
        {
            w.stop(host);
            CHECK(w.account().spent == 50);
            CHECK(w.account().holds.empty());
        }
        SUBCASE("and the maximum of turns that have not ended")
        {
            REQUIRE(host.holder.tryReserve(claimOf("t2", 400, 50)));
            w.stop(host);
            CHECK(w.account().spent == 100);
            CHECK(w.account().holds.empty());
        }
        SUBCASE("and of turns that begin meanwhile")
        {
            bool isReserved = false;
            auto reserveLate = [&]() -> awaitable<void> {
                isReserved = host.holder.tryReserve(claimOf("t2", 400, 50));
                co_return;
            };
            auto stop = [&]() -> awaitable<void> {
                spawn(w.context.get_executor(), "reserveLate", reserveLate());
                co_await host.holder.release(runtime_clock::now() + seconds(1));
            };
            runInSteps(w.context, stop(), step);
            CHECK(w.account().committed() >= 50 + (isReserved ? 50 : 0));
        }
        SUBCASE("within the time that it has")
        {
            host.access.nextFault = [] { return store_fault::RequestDropped; };
            const time_point began = runtime_clock::now();
            w.stop(host);
            CHECK(runtime_clock::now() - began <= milliseconds(1100));
            CHECK(w.account().committed() == 200);
        }
    }

    // Guards against a program that gets its budget a second time, as the row of its account was
    // removed while its turns ran on held tokens.
    TEST_CASE("an account is kept while turns run on what is held")
    {
        holder_world w(1000);
        holder_host &host = w.start("d0");
        REQUIRE(w.run(host, "t0", 50, 10));
        auto remove = [&]() -> awaitable<void> { co_await host.ledger.removeExpiredRows(); };
        const auto runFor = [&](duration time) {
            constexpr duration pause = seconds(15);
            for (duration t = duration::zero(); t < time; t += pause) {
                w.advance(pause, seconds(1));
                CHECK(host.holder.tryReserve(claimOf("t", 1000, 50)));
                host.holder.settle(program, {"t"}, 10);
                host.holder.expire(runtime_clock::now());
                runInSteps(w.context, remove(), step);
            }
        };
        runFor(seconds(90));
        CHECK(w.account().committed() == 500);

        SUBCASE("and removed after its retention time")
        {
            w.advance(retention + seconds(11), seconds(1));
            runInSteps(w.context, remove(), step);
            CHECK(w.account().committed() == 0);
        }
    }

    // Guards against a program that is refused although its budget is not spent, as the dispatcher
    // forgot its own hold during a pause of the program.
    TEST_CASE("a program that pauses goes on with the tokens that are held for it")
    {
        holder_world w(100);
        holder_host &host = w.start("d0");
        REQUIRE(w.run(host, "t1", 50, 10));
        w.advance(seconds(30), seconds(1));
        host.holder.expire(runtime_clock::now());
        CHECK(w.run(host, "t2", 50, 10));
        w.stop(host);
        CHECK(w.account().spent == 20);
        CHECK(w.account().holds.empty());
    }

    // Guards against budgets that are exceeded by parallel turns at several dispatchers, by lost
    // answers and delayed writes, and by daemons that fail or stop.
    TEST_CASE("whatever the store does and whichever daemon dies, a budget holds")
    {
        CHECK(rc::check("the tokens used stay within the budget", [] {
            constexpr std::size_t turnCount = 40;
            constexpr std::size_t faultCount = 30;
            auto turns = *rc::gen::container<std::vector<planned_turn>>(turnCount, anyTurn());
            for (std::size_t i = 0; i < turns.size(); ++i)
                turns[i].id = "t" + std::to_string(i);
            // Several calls in a row fail, so that all attempts of one write may.
            const auto kinds = *rc::gen::container<std::vector<int>>(faultCount, evenly(14));
            const auto lengths = *rc::gen::container<std::vector<std::size_t>>(
                faultCount, rc::gen::inRange<std::size_t>(1, 7));
            std::vector<int> faults;
            for (std::size_t i = 0; i < faultCount; ++i)
                faults.insert(faults.end(), lengths[i], kinds[i]);
            const paused_clock pause;
            asio::io_context context;
            faulty_world w(context, std::move(faults));
            runInSteps(context, playTurns(w, std::move(turns)), milliseconds(100));
            RC_CLASSIFY(10 * w.usedTokens > 9 * programBudget, "budget nearly used up");
            RC_ASSERT(w.usedTokens <= programBudget);
        }));
    }
}

} // namespace azurehill::test
