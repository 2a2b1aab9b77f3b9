#include "program/program_book.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

tl::unexpected<refusal> refuse(refusal_reason reason, std::string detail)
{
    return tl::unexpected(refusal{reason, std::move(detail), std::nullopt});
}

} // namespace

const program *program_book::find(const program_id &id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

void program_book::forget(const program_id &id)
{
    m_programs.erase(id);
}

std::int64_t program_book::freeTokens(const program_id &id) const
{
    // A sub-agent spends from its own budget and from that of every program above it.
    const program *p = find(id);
    if (!p)
        return 0;
    const std::int64_t own = p->freeTokens();
    return p->parent.empty() ? own : std::min(own, freeTokens(p->parent));
}

tl::expected<call_decision, refusal> program_book::decide(const call_request &request,
                                                          std::int64_t nowUnixMs) const
{
    const program *p = find(request.program);
    if (!p)
        return refuse(refusal_reason::UnknownProgram, request.program.value);
    if (p->open && p->open->turn == request.turn) {
        if (p->open->key != request.key)
            return refuse(refusal_reason::KeyReused, "the turn is under way with another key");
        return attach_to_call{*p->open};
    }
    if (const auto it = p->closed.find(request.turn); it != p->closed.end()) {
        if (it->second.key != request.key)
            return refuse(refusal_reason::KeyReused, "the turn has ended with another key");
        return replay_answer{it->second};
    }
    if (p->ended) {
        return refuse(refusal_reason::ProgramEnded,
                      fmt::format("the program has ended: {}", toName(*p->ended)));
    }
    const std::int64_t next = p->lastTurn + 1;
    if (p->open && request.turn == p->open->turn + 1)
        return wait_for_turn{};
    if (request.turn != next) {
        return refuse(refusal_reason::TurnOutOfOrder,
                      fmt::format("turn {} came, turn {} comes next", request.turn, next));
    }
    if (p->deadlineUnixMs != 0 && nowUnixMs >= p->deadlineUnixMs)
        return refuse(refusal_reason::DeadlinePassed, "the program's deadline has passed");
    const std::int64_t free = freeTokens(request.program);
    if (request.reserveTokens > free) {
        return refuse(refusal_reason::BudgetExhausted,
                      fmt::format("{} tokens wanted, {} free", request.reserveTokens, free));
    }
    return begin_call{call_begun{request.program, request.turn, request.key, request.kind,
                                 request.idempotent, request.reserveTokens}};
}

void program_book::apply(const journal_record &record)
{
    if (const auto *created = std::get_if<program_created>(&record)) {
        program p;
        p.id = created->program;
        p.parent = created->parent;
        p.tenant = created->tenant;
        p.programClass = created->programClass;
        p.budgetTokens = created->budgetTokens;
        p.deadlineUnixMs = created->deadlineUnixMs;
        p.createdUnixMs = created->createdUnixMs;
        m_programs.try_emplace(p.id, std::move(p));
        return;
    }
    const auto it = m_programs.find(programOf(record));
    if (it == m_programs.end())
        return;
    std::visit(
        [&](const auto &r) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(r)>, program_created>)
                applyTo(it->second, r);
        },
        record);
}

void program_book::applyTo(program &p, const call_begun &r)
{
    p.open = open_call{r.turn, r.key, r.kind, r.idempotent, r.reservedTokens};
}

void program_book::charge(const program &p, std::int64_t tokens)
{
    for (program_id id = p.id; !id.empty();) {
        const auto it = m_programs.find(id);
        if (it == m_programs.end())
            return;
        it->second.spentTokens += tokens;
        id = it->second.parent;
    }
}

void program_book::applyTo(program &p, const call_finished &r)
{
    p.open.reset();
    p.lastTurn = r.turn;
    if (!r.messages.empty()) {
        if (!p.history.empty())
            p.history += ',';
        p.history += r.messages;
    }
    p.closed[r.turn] = closed_call{r.key, std::nullopt, r.status, r.reply, r.contentType};
    charge(p, r.spentTokens);
}

void program_book::applyTo(program &p, const call_failed &r)
{
    // A model only reads and writes text, so its turn may run again after a death in mid-stream;
    // each attempt is charged. Closed as unknown, the turn could never get its whole answer.
    const bool repeatable = p.open && (p.open->kind == call_kind::Model || p.open->idempotent);
    p.open.reset();
    charge(p, r.spentTokens);
    if (r.ran == outcome::DidNotRun || repeatable)
        return;
    p.lastTurn = r.turn;
    p.closed[r.turn] = closed_call{r.key, r.ran, 0, {}, {}};
}

void program_book::applyTo(program &p, const program_ended &r)
{
    p.ended = r.reason;
}

} // namespace azurehill
