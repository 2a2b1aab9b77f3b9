#include "program/programs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace azurehill;

namespace {

const std::vector<upstream_id> engines = {{"e0"}, {"e1"}};

/// Model of the programs of one daemon, two engines with caches, and a network that loses messages.
struct release_model
{
    program_registry registry;
    release_planner planner;
    std::vector<journal_record> durable;
    std::map<upstream_id, std::set<program_id>> memory;
    std::vector<release_order> sent;
    int created = 0;
    time_point now{};

    void write(const journal_record &r)
    {
        durable.push_back(r);
        registry.apply(r);
    }
    program_id any(unsigned randomBits) const
    {
        return {"p" + std::to_string(randomBits % static_cast<unsigned>(created))};
    }
    void call(unsigned randomBits)
    {
        const program &p = *registry.find(any(randomBits));
        if (p.ended || p.openCall)
            return;
        const upstream_id &engine = engines[randomBits / 16 % 2];
        const std::int64_t turn = p.lastTurn + 1;
        write(call_begun{p.id, turn, std::to_string(turn), call_kind::Model, true, 1, engine});
        // One call in eight is rerouted to the second engine before it runs.
        memory[randomBits / 32 % 8 == 0 ? engines[1] : engine].insert(p.id);
    }
    void answer(unsigned randomBits)
    {
        const program &p = *registry.find(any(randomBits));
        if (!p.openCall)
            return;
        const open_call o = *p.openCall;
        if (randomBits / 16 % 4 == 0)
            write(call_failed{p.id, o.turn, o.key, outcome::Unknown, 1});
        else
            write(call_finished{p.id, o.turn, o.key, 1, 200, "", ""});
    }
    void deliver(unsigned randomBits)
    {
        if (sent.empty())
            return;
        const release_order order = sent.back();
        sent.pop_back();
        const program *p = registry.find(order.program);
        RC_ASSERT(!p || (p->ended && !p->openCall));
        if (randomBits % 4 == 0) // the order was lost
            return planner.onResponse(order, false, now);
        memory[order.engine].erase(order.program);
        if (randomBits % 4 == 1) // the response was lost
            return planner.onResponse(order, false, now);
        planner.onResponse(order, true, now);
        write(program_released{order.program, order.engine});
    }
    void poll()
    {
        for (const release_order &order : planner.poll(registry, now))
            sent.push_back(order);
    }
    void reconcile()
    {
        for (const upstream_id &engine : engines) {
            const std::vector<program_id> held(memory[engine].begin(), memory[engine].end());
            for (const release_order &order : release_planner::reconcile(registry, engine, held))
                memory[engine].erase(order.program);
        }
    }
    void takeOver()
    {
        sent.clear();
        planner = {};
        registry = {};
        for (const journal_record &r : durable)
            registry.apply(recordFromJson(toJson(r)).value());
        for (const program_id &id : idsWithOpenCall()) {
            const open_call o = *registry.find(id)->openCall;
            write(call_failed{id, o.turn, o.key, outcome::Unknown, 1});
        }
    }
    std::vector<program_id> idsWithOpenCall() const
    {
        std::vector<program_id> ids;
        for (const auto &[id, p] : registry.programs()) {
            if (p.openCall)
                ids.push_back(id);
        }
        return ids;
    }
    int cachedEndedPrograms() const
    {
        int count = 0;
        for (const auto &[engine, programs] : memory) {
            for (const program_id &id : programs)
                count += registry.find(id)->ended ? 1 : 0;
        }
        return count;
    }
};

void runHistory(const std::vector<unsigned> &steps, bool reconciles)
{
    release_model m;
    for (const unsigned step : steps) {
        const unsigned randomBits = step / 16;
        const unsigned action = step % 16;
        m.now += milliseconds(300);
        if (m.created == 0 || action == 0)
            m.write(program_created{{"p" + std::to_string(m.created++)}, {}, {}, "", 100, 0, 0});
        else if (action < 5)
            m.call(randomBits);
        else if (action < 9)
            m.answer(randomBits);
        else if (action == 9)
            m.write(program_ended{m.any(randomBits), end_reason::Finished});
        else if (action < 12)
            m.poll();
        else if (action < 15)
            m.deliver(randomBits);
        else if (randomBits % 4 == 0)
            m.takeOver();
    }
    for (int i = 0; i < 400; ++i) {
        for (const program_id &id : m.idsWithOpenCall()) {
            const open_call o = *m.registry.find(id)->openCall;
            m.write(call_finished{id, o.turn, o.key, 1, 200, "", ""});
        }
        m.now += seconds(1);
        m.poll();
        while (!m.sent.empty())
            m.deliver(2);
    }
    if (reconciles)
        m.reconcile();
    for (const auto &[id, p] : m.registry.programs())
        RC_ASSERT(!p.ended || p.engines.empty());
    if (reconciles)
        RC_ASSERT(m.cachedEndedPrograms() == 0);
}

program_created idleAfter(const char *id, std::int64_t idleMs)
{
    program_created c;
    c.program = {id};
    c.budgetTokens = 100;
    c.idleMs = idleMs;
    return c;
}

} // namespace

TEST_CASE("No engine holds memory for an ended program")
{
    CHECK(rc::check("over lost orders and answers, calls that moved, and takeovers", [] {
        runHistory(*rc::gen::container<std::vector<unsigned>>(200, rc::gen::inRange(0U, 1U << 20U)),
                   true);
    }));

    program_registry registry;
    release_planner planner;
    registry.apply(idleAfter("p0", 0));
    registry.apply(call_begun{{"p0"}, 1, "k", call_kind::Model, true, 1, engines[0]});
    registry.apply(program_ended{{"p0"}, end_reason::Finished});

    SUBCASE("a call that is under way is waited for")
    {
        CHECK(planner.poll(registry, {}).empty());
        registry.apply(call_finished{{"p0"}, 1, "k", 1, 200, "", ""});
        CHECK(planner.poll(registry, {}).size() == 1);
    }
    SUBCASE("an engine that left the host list took its memory along, but the list is late")
    {
        registry.apply(call_finished{{"p0"}, 1, "k", 1, 200, "", ""});
        planner.onListedEngines({engines[0]}, time_point(seconds(10)));
        planner.onListedEngines({engines[1]}, time_point(seconds(100)));
        CHECK(planner.ordersForLostEngines(registry, time_point(seconds(100))).empty());
        CHECK(planner.ordersForLostEngines(registry, time_point(seconds(131))).size() == 1);
    }
}

TEST_CASE("A program that never says that it ends")
{
    program_registry registry;
    program_reaper reaper;
    registry.apply(idleAfter("p0", 1000));
    const auto at = [](int ms) { return time_point(milliseconds(ms)); };
    CHECK(reaper.findDue(registry, at(0), 0).empty());

    SUBCASE("expires when its class says so")
    {
        CHECK(reaper.findDue(registry, at(999), 0).empty());
        const auto due = reaper.findDue(registry, at(1000), 0);
        REQUIRE(due.size() == 1);
        CHECK(due[0].reason == end_reason::Expired);
        registry.apply(due[0]);
        CHECK(reaper.findDue(registry, at(5000), 0).empty());
    }
    SUBCASE("is not idle while it calls or a sub-agent does")
    {
        program_created child = idleAfter("p0.1", 0);
        child.parent = {"p0"};
        registry.apply(child);
        CHECK(reaper.findDue(registry, at(900), 0).empty());
        registry.apply(call_begun{{"p0.1"}, 1, "k", call_kind::Tool, true, 0});
        CHECK(reaper.findDue(registry, at(3000), 0).empty());
        registry.apply(call_finished{{"p0.1"}, 1, "k", 0, 200, "", ""});
        CHECK(reaper.findDue(registry, at(3900), 0).empty());
        CHECK(reaper.findDue(registry, at(4900), 0).size() == 1);
    }
    SUBCASE("ends at its deadline, once its call has ended")
    {
        program_created late = idleAfter("p1", 0);
        late.deadlineUnixMs = 50;
        registry.apply(late);
        registry.apply(call_begun{{"p1"}, 1, "k", call_kind::Tool, true, 0});
        CHECK(reaper.findDue(registry, at(10), 60).empty());
        registry.apply(call_finished{{"p1"}, 1, "k", 0, 200, "", ""});
        CHECK(reaper.findDue(registry, at(20), 60).at(0).reason == end_reason::DeadlinePassed);
    }
}
