#include "program/programs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace azurehill;

namespace {

constexpr std::int64_t classTurns = 6;
constexpr std::int64_t deadlineMs = 1'000'000;

bool sameState(const program_registry &a, const program_registry &b)
{
    if (a.programs().size() != b.programs().size())
        return false;
    for (const auto &[id, p] : a.programs()) {
        const program *q = b.find(id);
        if (!q || p.history != q->history || p.spentTokens != q->spentTokens
            || p.reservedTokens != q->reservedTokens || p.lastTurn != q->lastTurn
            || p.open.has_value() != q->open.has_value() || p.closed.size() != q->closed.size()
            || p.ended != q->ended || p.keys != q->keys)
            return false;
    }
    return true;
}

/// A family of programs, their callers, the journal, and the daemon that dies now and then.
struct family_model
{
    program_registry book;
    std::vector<journal_record> durable;
    std::vector<journal_record> pending;
    std::vector<program_id> ids;
    /// Sends by program and key of non-idempotent calls, and what each finished turn added.
    std::map<std::pair<program_id, std::string>, int> sent;
    std::map<program_id, std::vector<std::string>> turns;
    /// Calls that went out and whose owner lives.
    std::map<program_id, call_begun> running;
    std::int64_t nowMs = 1;

    void commitAll()
    {
        for (const journal_record &r : pending) {
            durable.push_back(r);
            if (const auto *begun = std::get_if<call_begun>(&r)) {
                running[begun->program] = *begun;
                if (!begun->idempotent)
                    ++sent[{begun->program, begun->key}];
            }
        }
        pending.clear();
    }
    void journal(const journal_record &r)
    {
        book.apply(r);
        pending.push_back(r);
    }
    void create(unsigned luck)
    {
        program_created c;
        if (!ids.empty())
            c.parent = ids[luck % ids.size()];
        c.program = ids.empty() ? program_id{"p00"}
                                : program_id{c.parent.value + "." + std::to_string(ids.size())};
        c.budgetTokens = ids.empty() ? 3000 : 500 + luck % 3000;
        c.deadlineUnixMs = deadlineMs;
        c.maxTurns = classTurns;
        const auto may = book.checkCreation(c, nowMs);
        RC_ASSERT(may.has_value() || book.find(c.parent)->ended || nowMs >= deadlineMs);
        if (!may)
            return;
        ids.push_back(c.program);
        journal(c);
        commitAll();
    }
    void request(unsigned luck)
    {
        const program_id id = ids[luck % ids.size()];
        const program &before = *book.find(id);
        call_request r;
        r.program = id;
        r.turn = before.lastTurn + luck / 8 % 4;
        r.key = std::to_string(luck / 32 % 8 == 0 ? luck / 256 % 10 : r.turn);
        r.kind = luck / 64 % 2 != 0 ? call_kind::Model : call_kind::Tool;
        r.idempotent = r.kind == call_kind::Model || luck / 128 % 2 != 0;
        r.reserveTokens = r.kind == call_kind::Model ? 20 + luck / 256 % 200 : 0;
        const std::int64_t history = r.kind == call_kind::Model ? before.historyTokens : 0;
        const auto decision = book.decide(r, nowMs);
        if (!decision)
            return;
        if (const auto *replay = std::get_if<replay_answer>(&*decision)) {
            RC_ASSERT(replay->call.key == r.key);
        } else if (const auto *attach = std::get_if<attach_to_call>(&*decision)) {
            RC_ASSERT(attach->call.key == r.key);
        } else if (std::holds_alternative<wait_for_previous_turn>(*decision)) {
            RC_ASSERT(before.open && before.open->turn + 1 == r.turn);
        } else {
            RC_ASSERT(!before.open && r.turn == before.lastTurn + 1 && r.turn <= classTurns);
            RC_ASSERT(nowMs < deadlineMs && !book.find(rootOf(id))->ended);
            const call_begun begun = std::get<begin_call>(*decision).record;
            RC_ASSERT(begun.reservedTokens == r.reserveTokens + history);
            journal(begun);
        }
    }
    void answer(unsigned luck)
    {
        if (running.empty())
            return;
        const auto it = std::next(running.begin(), luck % running.size());
        const call_begun c = it->second;
        running.erase(it);
        const bool model = c.kind == call_kind::Model;
        if (luck / 8 % 4 == 0) {
            const auto ran = static_cast<outcome>(luck / 32 % 3);
            journal(call_failed{c.program, c.turn, c.key, ran,
                                ran == outcome::DidNotRun ? 0 : c.reservedTokens});
            if (ran == outcome::DidNotRun)
                sent.erase({c.program, c.key});
        } else {
            const std::string messages
                = model ? "\"" + c.program.value + "#" + std::to_string(c.turn) + "\"" : "";
            if (model)
                turns[c.program].push_back(messages);
            journal(call_finished{c.program, c.turn, c.key,
                                  model ? 1 + luck / 64 % c.reservedTokens : 0, 200, messages,
                                  "reply"});
        }
        commitAll(); // the caller sees an end after its commit
    }
    /// The daemon dies; another one reads the journal and settles what was open.
    void crash()
    {
        pending.clear();
        running.clear();
        program_registry next;
        for (const journal_record &r : durable) {
            auto read = recordFromJson(toJson(r));
            RC_ASSERT(read.has_value());
            next.apply(*read);
        }
        book = next;
        for (const program_id &id : ids) {
            const program *p = book.find(id);
            if (!p->open)
                continue;
            const open_call o = *p->open;
            journal(call_failed{id, o.turn, o.key, outcome::Unknown, o.reservedTokens});
            call_request again{id, o.turn, o.key, o.kind, o.idempotent, 0};
            const auto decision = book.decide(again, nowMs);
            if (o.idempotent)
                RC_ASSERT(!decision || std::holds_alternative<begin_call>(*decision));
            else
                RC_ASSERT(std::get<replay_answer>(*decision).call.failed == outcome::Unknown);
        }
        commitAll();
    }
    void end(unsigned luck)
    {
        const program_id id = ids[luck % ids.size()];
        journal(program_ended{id, end_reason::Finished});
        commitAll();
        for (const auto &[other, p] : book.programs())
            RC_ASSERT(p.ended || !other.value.starts_with(id.value + "."));
    }
    void check() const
    {
        for (const auto &[id, p] : book.programs()) {
            std::int64_t reserved = 0;
            for (const auto &[other, q] : book.programs()) {
                if (q.open && (other == id || other.value.starts_with(id.value + ".")))
                    reserved += q.open->reservedTokens;
            }
            RC_ASSERT(p.reservedTokens == reserved);
            RC_ASSERT(p.spentTokens + reserved <= p.budgetTokens);
            std::string expected;
            if (const auto it = turns.find(id); it != turns.end()) {
                for (const std::string &t : it->second)
                    expected += (expected.empty() ? "" : ",") + t;
            }
            RC_ASSERT(p.history == expected);
        }
        for (const auto &[call, times] : sent)
            RC_ASSERT(times == 1);
        program_registry replayed;
        for (const journal_record &r : durable)
            replayed.apply(r);
        if (pending.empty())
            RC_ASSERT(sameState(replayed, book));
    }
};

program_created root(std::int64_t budget)
{
    program_created c;
    c.program = {"p00"};
    c.budgetTokens = budget;
    return c;
}

} // namespace

TEST_CASE("The promises to a family of programs hold")
{
    CHECK(rc::check("over repeats, wrong turns, other keys, sub-agents, deadlines and crashes", [] {
        family_model m;
        m.create(0);
        const auto steps
            = *rc::gen::container<std::vector<unsigned>>(150, rc::gen::inRange(0U, 1U << 24U));
        for (const unsigned step : steps) {
            const unsigned luck = step / 32;
            const unsigned what = step % 32;
            if (what < 12)
                m.request(luck);
            else if (what < 16)
                m.commitAll();
            else if (what < 24)
                m.answer(luck);
            else if (what < 27)
                m.crash();
            else if (what < 29 && m.ids.size() < 6)
                m.create(luck);
            else if (what == 29 && luck % 4 == 0)
                m.end(luck / 4);
            else
                m.nowMs += luck % 30'000;
            m.check();
        }
    }));
}

TEST_CASE("What a program may spend")
{
    program_registry book;
    book.apply(root(1000));
    const program_id parent{"p00"};
    const program_id child{"p00.1"};
    program_created c;
    c.program = child;
    c.parent = parent;
    c.budgetTokens = 5000;
    book.apply(c);
    call_request r{parent, 1, "k", call_kind::Model, true, 300};

    SUBCASE("what its sub-agents have reserved is not free")
    {
        // Two sub-agents and their parent start calls at the same moment. Each alone fits the
        // budget; together they would spend more than there is.
        book.apply(call_begun{child, 1, "a", call_kind::Model, true, 800});
        CHECK(book.freeTokens(parent) == 200);
        CHECK(book.decide(r, 0).error().reason == refusal_reason::BudgetExhausted);
        book.apply(call_finished{child, 1, "a", 100, 200, "1", "x"});
        CHECK(book.freeTokens(parent) == 900);
    }
    SUBCASE("a model call reserves its whole history")
    {
        book.apply(call_begun{parent, 1, "k", call_kind::Model, true, 500});
        book.apply(call_finished{parent, 1, "k", 400, 200, "1", "x"});
        r.turn = 2;
        r.key = "k2";
        const auto decision = book.decide(r, 0);
        CHECK(decision.error().reason == refusal_reason::BudgetExhausted);
        r.reserveTokens = 100;
        CHECK(std::get<begin_call>(*book.decide(r, 0)).record.reservedTokens >= 500);
    }
}

TEST_CASE("A sub-agent whose creation meets the end of its parent ends with it")
{
    // The parent ends while the sub-agent's creation waits for its commit; a sub-agent that lived
    // on would hold engine memory with nobody to end it.
    program_registry book;
    book.apply(root(1000));
    book.apply(program_ended{{"p00"}, end_reason::Finished});
    program_created c;
    c.program = {"p00.1"};
    c.parent = {"p00"};
    book.apply(c);
    CHECK(book.find({"p00.1"})->ended == end_reason::Finished);
}

TEST_CASE("A key goes out once")
{
    program_registry book;
    book.apply(root(1000));
    const program_id id{"p00"};
    book.apply(call_begun{id, 1, "k", call_kind::Tool, false, 0});

    SUBCASE("not under another turn")
    {
        // A caller lost its place and repeats its payment under the next turn.
        book.apply(call_finished{id, 1, "k", 0, 200, "", "receipt"});
        const auto decision = book.decide({id, 2, "k", call_kind::Tool, false, 0}, 0);
        CHECK(decision.error().reason == refusal_reason::KeyReused);
    }
    SUBCASE("not after its owner died")
    {
        book.apply(call_failed{id, 1, "k", outcome::Unknown, 0});
        const auto decision = book.decide({id, 1, "k", call_kind::Tool, false, 0}, 0);
        CHECK(std::get<replay_answer>(*decision).call.failed == outcome::Unknown);
    }
    SUBCASE("but again once it is certain that it did not run")
    {
        book.apply(call_failed{id, 1, "k", outcome::DidNotRun, 0});
        CHECK(std::holds_alternative<begin_call>(
            *book.decide({id, 1, "k", call_kind::Tool, false, 0}, 0)));
    }
}

TEST_CASE("Limits of the class")
{
    program_registry book;
    program_created c = root(1000);
    c.maxTurns = 1;
    c.deadlineUnixMs = 50;
    book.apply(c);
    const program_id id{"p00"};
    CHECK(book.decide({id, 1, "k", call_kind::Model, true, 1}, 50).error().reason
          == refusal_reason::DeadlinePassed);
    book.apply(call_begun{id, 1, "k", call_kind::Model, true, 1});
    book.apply(call_finished{id, 1, "k", 1, 200, "1", "x"});
    CHECK(book.decide({id, 2, "l", call_kind::Model, true, 1}, 0).error().reason
          == refusal_reason::TooManyTurns);
    CHECK(std::holds_alternative<replay_answer>(
        *book.decide({id, 1, "k", call_kind::Model, true, 1}, 60)));
}
