#include "program/programs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace azurehill;

namespace {

const std::vector<upstream_id> engines = {{"e0"}, {"e1"}};

/// Programs of one daemon, two engines with memory, and a network that loses answers.
struct release_model
{
    program_registry book;
    release_planner planner;
    std::vector<journal_record> durable;
    std::map<upstream_id, std::set<program_id>> memory;
    std::vector<release_order> sent;
    int created = 0;
    time_point now{};

    void write(const journal_record &r)
    {
        durable.push_back(r);
        book.apply(r);
    }
    program_id any(unsigned luck) const
    {
        return {"p" + std::to_string(luck % static_cast<unsigned>(created))};
    }
    void call(unsigned luck)
    {
        const program &p = *book.find(any(luck));
        if (p.ended || p.open)
            return;
        const upstream_id &engine = engines[luck / 16 % 2];
        const std::int64_t turn = p.lastTurn + 1;
        write(call_begun{p.id, turn, std::to_string(turn), call_kind::Model, true, 1, engine});
        memory[luck / 32 % 8 == 0 ? engines[1] : engine].insert(p.id); // moved before it ran
    }
    void answer(unsigned luck)
    {
        const program &p = *book.find(any(luck));
        if (!p.open)
            return;
        const open_call o = *p.open;
        if (luck / 16 % 4 == 0)
            write(call_failed{p.id, o.turn, o.key, outcome::Unknown, 1});
        else
            write(call_finished{p.id, o.turn, o.key, 1, 200, "", ""});
    }
    void deliver(unsigned luck)
    {
        if (sent.empty())
            return;
        const release_order order = sent.back();
        sent.pop_back();
        const program *p = book.find(order.program);
        RC_ASSERT(!p || (p->ended && !p->open));
        if (luck % 4 == 0) // never arrived
            return planner.onAnswer(order, false, now);
        memory[order.engine].erase(order.program);
        if (luck % 4 == 1) // the answer is lost
            return planner.onAnswer(order, false, now);
        planner.onAnswer(order, true, now);
        write(program_released{order.program, order.engine});
    }
    void poll()
    {
        for (const release_order &order : planner.poll(book, now))
            sent.push_back(order);
    }
    void reconcile()
    {
        for (const upstream_id &engine : engines) {
            const std::vector<program_id> held(memory[engine].begin(), memory[engine].end());
            for (const release_order &order : release_planner::reconcile(book, engine, held))
                memory[engine].erase(order.program);
        }
    }
    void takeOver()
    {
        sent.clear();
        planner = {};
        book = {};
        for (const journal_record &r : durable)
            book.apply(recordFromJson(toJson(r)).value());
        for (const program_id &id : idsWithOpenCall()) {
            const open_call o = *book.find(id)->open;
            write(call_failed{id, o.turn, o.key, outcome::Unknown, 1});
        }
    }
    std::vector<program_id> idsWithOpenCall() const
    {
        std::vector<program_id> ids;
        for (const auto &[id, p] : book.programs()) {
            if (p.open)
                ids.push_back(id);
        }
        return ids;
    }
    int cachedEndedPrograms() const
    {
        int count = 0;
        for (const auto &[engine, programs] : memory) {
            for (const program_id &id : programs)
                count += book.find(id)->ended ? 1 : 0;
        }
        return count;
    }
};

void runHistory(const std::vector<unsigned> &steps, bool reconciles)
{
    release_model m;
    for (const unsigned step : steps) {
        const unsigned luck = step / 16;
        const unsigned what = step % 16;
        m.now += milliseconds(300);
        if (m.created == 0 || what == 0)
            m.write(program_created{{"p" + std::to_string(m.created++)}, {}, {}, "", 100, 0, 0});
        else if (what < 5)
            m.call(luck);
        else if (what < 9)
            m.answer(luck);
        else if (what == 9)
            m.write(program_ended{m.any(luck), end_reason::Finished});
        else if (what < 12)
            m.poll();
        else if (what < 15)
            m.deliver(luck);
        else if (luck % 4 == 0)
            m.takeOver();
    }
    for (int i = 0; i < 400; ++i) {
        for (const program_id &id : m.idsWithOpenCall()) {
            const open_call o = *m.book.find(id)->open;
            m.write(call_finished{id, o.turn, o.key, 1, 200, "", ""});
        }
        m.now += seconds(1);
        m.poll();
        while (!m.sent.empty())
            m.deliver(2);
    }
    if (reconciles)
        m.reconcile();
    for (const auto &[id, p] : m.book.programs())
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

    program_registry book;
    release_planner planner;
    book.apply(idleAfter("p0", 0));
    book.apply(call_begun{{"p0"}, 1, "k", call_kind::Model, true, 1, engines[0]});
    book.apply(program_ended{{"p0"}, end_reason::Finished});

    SUBCASE("a call that is under way is waited for")
    {
        CHECK(planner.poll(book, {}).empty());
        book.apply(call_finished{{"p0"}, 1, "k", 1, 200, "", ""});
        CHECK(planner.poll(book, {}).size() == 1);
    }
    SUBCASE("an engine that left the host list took its memory along, but the list is late")
    {
        book.apply(call_finished{{"p0"}, 1, "k", 1, 200, "", ""});
        planner.onListedEngines({engines[0]}, time_point(seconds(10)));
        planner.onListedEngines({engines[1]}, time_point(seconds(100)));
        CHECK(planner.gone(book, time_point(seconds(100))).empty());
        CHECK(planner.gone(book, time_point(seconds(131))).size() == 1);
    }
}

TEST_CASE("A program that never says that it ends")
{
    program_registry book;
    program_reaper reaper;
    book.apply(idleAfter("p0", 1000));
    const auto at = [](int ms) { return time_point(milliseconds(ms)); };
    CHECK(reaper.tick(book, at(0), 0).empty());

    SUBCASE("expires when its class says so")
    {
        CHECK(reaper.tick(book, at(999), 0).empty());
        const auto due = reaper.tick(book, at(1000), 0);
        REQUIRE(due.size() == 1);
        CHECK(due[0].reason == end_reason::Expired);
        book.apply(due[0]);
        CHECK(reaper.tick(book, at(5000), 0).empty());
    }
    SUBCASE("is not idle while it calls or a sub-agent does")
    {
        program_created child = idleAfter("p0.1", 0);
        child.parent = {"p0"};
        book.apply(child);
        CHECK(reaper.tick(book, at(900), 0).empty());
        book.apply(call_begun{{"p0.1"}, 1, "k", call_kind::Tool, true, 0});
        CHECK(reaper.tick(book, at(3000), 0).empty());
        book.apply(call_finished{{"p0.1"}, 1, "k", 0, 200, "", ""});
        CHECK(reaper.tick(book, at(3900), 0).empty());
        CHECK(reaper.tick(book, at(4900), 0).size() == 1);
    }
    SUBCASE("ends at its deadline, once its call has ended")
    {
        program_created late = idleAfter("p1", 0);
        late.deadlineUnixMs = 50;
        book.apply(late);
        book.apply(call_begun{{"p1"}, 1, "k", call_kind::Tool, true, 0});
        CHECK(reaper.tick(book, at(10), 60).empty());
        book.apply(call_finished{{"p1"}, 1, "k", 0, 200, "", ""});
        CHECK(reaper.tick(book, at(20), 60).at(0).reason == end_reason::DeadlinePassed);
    }
}
