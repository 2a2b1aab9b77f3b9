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
            || p.openCall.has_value() != q->openCall.has_value()
            || p.closedCalls.size() != q->closedCalls.size() || p.ended != q->ended
            || p.turnByKey != q->turnByKey)
            return false;
    }
    return true;
}

/// Model of a family of programs with its callers, its journal, and a daemon that crashes.
struct family_model
{
    program_registry registry;
    std::vector<journal_record> durable;
    std::vector<journal_record> pending;
    std::vector<program_id> ids;
    /// Number of sends of each non-idempotent call by program and key.
    std::map<std::pair<program_id, std::string>, int> sent;
    /// Messages that each finished turn added to the history.
    std::map<program_id, std::vector<std::string>> turns;
    /// Calls that were sent and whose owner has not crashed since.
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
        registry.apply(r);
        pending.push_back(r);
    }
    void create(unsigned randomBits)
    {
        program_created c;
        if (!ids.empty())
            c.parent = ids[randomBits % ids.size()];
        c.program = ids.empty() ? program_id{"p00"}
                                : program_id{c.parent.value + "." + std::to_string(ids.size())};
        c.budgetTokens = ids.empty() ? 3000 : 500 + randomBits % 3000;
        c.deadlineUnixMs = deadlineMs;
        c.maxTurns = classTurns;
        const auto may = registry.checkCreation(c, nowMs);
        RC_ASSERT(may.has_value() || registry.find(c.parent)->ended || nowMs >= deadlineMs);
        if (!may)
            return;
        ids.push_back(c.program);
        journal(c);
        commitAll();
    }
    void request(unsigned randomBits)
    {
        const program_id id = ids[randomBits % ids.size()];
        const program &before = *registry.find(id);
        call_request r;
        r.program = id;
        r.turn = before.lastTurn + randomBits / 8 % 4;
        r.key = std::to_string(randomBits / 32 % 8 == 0 ? randomBits / 256 % 10 : r.turn);
        r.kind = randomBits / 64 % 2 != 0 ? call_kind::Model : call_kind::Tool;
        r.idempotent = r.kind == call_kind::Model || randomBits / 128 % 2 != 0;
        r.reserveTokens = r.kind == call_kind::Model ? 20 + randomBits / 256 % 200 : 0;
        const std::int64_t history = r.kind == call_kind::Model ? before.historyTokens : 0;
        const auto decision = registry.decide(r, nowMs);
        if (!decision)
            return;
        if (const auto *replay = std::get_if<replay_answer>(&*decision)) {
            RC_ASSERT(replay->call.key == r.key);
        } else if (const auto *attach = std::get_if<attach_to_call>(&*decision)) {
            RC_ASSERT(attach->call.key == r.key);
        } else if (std::holds_alternative<wait_for_previous_turn>(*decision)) {
            RC_ASSERT(before.openCall && before.openCall->turn + 1 == r.turn);
        } else {
            RC_ASSERT(!before.openCall && r.turn == before.lastTurn + 1 && r.turn <= classTurns);
            RC_ASSERT(nowMs < deadlineMs && !registry.find(rootOf(id))->ended);
            const call_begun begun = std::get<begin_call>(*decision).record;
            RC_ASSERT(begun.reservedTokens == r.reserveTokens + history);
            journal(begun);
        }
    }
    void answer(unsigned randomBits)
    {
        if (running.empty())
            return;
        const auto it = std::next(running.begin(), randomBits % running.size());
        const call_begun c = it->second;
        running.erase(it);
        const bool model = c.kind == call_kind::Model;
        if (randomBits / 8 % 4 == 0) {
            const auto ran = static_cast<outcome>(randomBits / 32 % 3);
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
                                  model ? 1 + randomBits / 64 % c.reservedTokens : 0, 200, messages,
                                  "reply"});
        }
        commitAll(); // the caller sees the end of a call only after its commit
    }
    /// The daemon crashes; another one replays the journal and closes the open calls.
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
        registry = next;
        for (const program_id &id : ids) {
            const program *p = registry.find(id);
            if (!p->openCall)
                continue;
            const open_call o = *p->openCall;
            journal(call_failed{id, o.turn, o.key, outcome::Unknown, o.reservedTokens});
            call_request again{id, o.turn, o.key, o.kind, o.idempotent, 0};
            const auto decision = registry.decide(again, nowMs);
            if (o.idempotent)
                RC_ASSERT(!decision || std::holds_alternative<begin_call>(*decision));
            else
                RC_ASSERT(std::get<replay_answer>(*decision).call.failed == outcome::Unknown);
        }
        commitAll();
    }
    void end(unsigned randomBits)
    {
        const program_id id = ids[randomBits % ids.size()];
        journal(program_ended{id, end_reason::Finished});
        commitAll();
        for (const auto &[other, p] : registry.programs())
            RC_ASSERT(p.ended || !other.value.starts_with(id.value + "."));
    }
    void check() const
    {
        for (const auto &[id, p] : registry.programs()) {
            std::int64_t reserved = 0;
            for (const auto &[other, q] : registry.programs()) {
                if (q.openCall && (other == id || other.value.starts_with(id.value + ".")))
                    reserved += q.openCall->reservedTokens;
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
            RC_ASSERT(sameState(replayed, registry));
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
            const unsigned randomBits = step / 32;
            const unsigned action = step % 32;
            if (action < 12)
                m.request(randomBits);
            else if (action < 16)
                m.commitAll();
            else if (action < 24)
                m.answer(randomBits);
            else if (action < 27)
                m.crash();
            else if (action < 29 && m.ids.size() < 6)
                m.create(randomBits);
            else if (action == 29 && randomBits % 4 == 0)
                m.end(randomBits / 4);
            else
                m.nowMs += randomBits % 30'000;
            m.check();
        }
    }));
}

TEST_CASE("What a program may spend")
{
    program_registry registry;
    registry.apply(root(1000));
    const program_id parent{"p00"};
    const program_id child{"p00.1"};
    program_created c;
    c.program = child;
    c.parent = parent;
    c.budgetTokens = 5000;
    registry.apply(c);
    call_request r{parent, 1, "k", call_kind::Model, true, 300};

    SUBCASE("what its sub-agents have reserved is not free")
    {
        // Guards against overspending when two sub-agents and their parent start calls at the same
        // time: each call fits the budget alone, but not all of them together.
        registry.apply(call_begun{child, 1, "a", call_kind::Model, true, 800});
        CHECK(registry.freeTokens(parent) == 200);
        CHECK(registry.decide(r, 0).error().reason == refusal_reason::BudgetExhausted);
        registry.apply(call_finished{child, 1, "a", 100, 200, "1", "x"});
        CHECK(registry.freeTokens(parent) == 900);
    }
    SUBCASE("a model call reserves its whole history")
    {
        registry.apply(call_begun{parent, 1, "k", call_kind::Model, true, 500});
        registry.apply(call_finished{parent, 1, "k", 400, 200, "1", "x"});
        r.turn = 2;
        r.key = "k2";
        const auto decision = registry.decide(r, 0);
        CHECK(decision.error().reason == refusal_reason::BudgetExhausted);
        r.reserveTokens = 100;
        CHECK(std::get<begin_call>(*registry.decide(r, 0)).record.reservedTokens >= 500);
    }
}

TEST_CASE("A sub-agent whose creation meets the end of its parent ends with it")
{
    // Guards against a leak of engine memory: if the parent ends while the creation of a sub-agent
    // waits for its commit, and the sub-agent stayed alive, no caller would ever end it.
    program_registry registry;
    registry.apply(root(1000));
    registry.apply(program_ended{{"p00"}, end_reason::Finished});
    program_created c;
    c.program = {"p00.1"};
    c.parent = {"p00"};
    registry.apply(c);
    CHECK(registry.find({"p00.1"})->ended == end_reason::Finished);
}

TEST_CASE("A key goes out once")
{
    program_registry registry;
    registry.apply(root(1000));
    const program_id id{"p00"};
    registry.apply(call_begun{id, 1, "k", call_kind::Tool, false, 0});

    SUBCASE("not under another turn")
    {
        // Guards against a caller that loses track of its turns and repeats a payment under the
        // next turn.
        registry.apply(call_finished{id, 1, "k", 0, 200, "", "receipt"});
        const auto decision = registry.decide({id, 2, "k", call_kind::Tool, false, 0}, 0);
        CHECK(decision.error().reason == refusal_reason::KeyReused);
    }
    SUBCASE("not after its owner died")
    {
        registry.apply(call_failed{id, 1, "k", outcome::Unknown, 0});
        const auto decision = registry.decide({id, 1, "k", call_kind::Tool, false, 0}, 0);
        CHECK(std::get<replay_answer>(*decision).call.failed == outcome::Unknown);
    }
    SUBCASE("but again once it is certain that it did not run")
    {
        registry.apply(call_failed{id, 1, "k", outcome::DidNotRun, 0});
        CHECK(std::holds_alternative<begin_call>(
            *registry.decide({id, 1, "k", call_kind::Tool, false, 0}, 0)));
    }
}

TEST_CASE("Limits of the class")
{
    program_registry registry;
    program_created c = root(1000);
    c.maxTurns = 1;
    c.deadlineUnixMs = 50;
    registry.apply(c);
    const program_id id{"p00"};
    CHECK(registry.decide({id, 1, "k", call_kind::Model, true, 1}, 50).error().reason
          == refusal_reason::DeadlinePassed);
    registry.apply(call_begun{id, 1, "k", call_kind::Model, true, 1});
    registry.apply(call_finished{id, 1, "k", 1, 200, "1", "x"});
    CHECK(registry.decide({id, 2, "l", call_kind::Model, true, 1}, 0).error().reason
          == refusal_reason::TooManyTurns);
    CHECK(std::holds_alternative<replay_answer>(
        *registry.decide({id, 1, "k", call_kind::Model, true, 1}, 60)));
}
