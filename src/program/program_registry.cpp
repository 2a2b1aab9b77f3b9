#include "program/program_registry.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// What the chat template may put around the reply when it comes back as part of a prompt.
constexpr std::int64_t chatTemplateTokens = 16;

tl::unexpected<refusal> refuse(refusal_reason reason, std::string detail)
{
    return tl::unexpected(refusal{reason, std::move(detail), std::nullopt});
}

} // namespace

const program *program_registry::find(const program_id &id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

void program_registry::forget(const program_id &id)
{
    const auto it = m_programs.find(id);
    if (it == m_programs.end())
        return;
    if (it->second.open)
        addReserved(id, -it->second.open->reservedTokens);
    if (const auto parent = m_programs.find(it->second.parent); parent != m_programs.end())
        std::erase(parent->second.children, id);
    m_programs.erase(it);
}

void program_registry::eraseFamily(const program_id &id)
{
    const program_id root = rootOf(id);
    std::erase_if(m_programs, [&](const auto &entry) { return rootOf(entry.first) == root; });
}

std::int64_t program_registry::freeTokens(const program_id &id) const
{
    const program *p = find(id);
    if (!p)
        return 0;
    const std::int64_t own = p->freeTokens();
    return p->parent.empty() ? own : std::min(own, freeTokens(p->parent));
}

std::optional<refusal> program_registry::refusalIfEnded(const program &p,
                                                        std::int64_t nowUnixMs) const
{
    for (const program *at = &p; at; at = find(at->parent)) {
        if (at->ended) {
            return refusal{refusal_reason::ProgramEnded,
                           fmt::format("{} has ended: {}", at->id.value, toName(*at->ended)),
                           std::nullopt};
        }
        if (at->deadlineUnixMs != 0 && nowUnixMs >= at->deadlineUnixMs) {
            return refusal{refusal_reason::DeadlinePassed,
                           "the deadline of " + at->id.value + " has passed", std::nullopt};
        }
    }
    return std::nullopt;
}

tl::expected<void, refusal> program_registry::checkCreation(const program_created &created,
                                                            std::int64_t nowUnixMs) const
{
    if (created.parent.empty())
        return {};
    const program *parent = find(created.parent);
    if (!parent)
        return refuse(refusal_reason::UnknownProgram, "unknown parent");
    if (auto over = refusalIfEnded(*parent, nowUnixMs))
        return tl::unexpected(std::move(*over));
    return {};
}

tl::expected<call_decision, refusal> program_registry::decide(const call_request &request,
                                                              std::int64_t nowUnixMs) const
{
    const program *p = find(request.program);
    if (!p)
        return refuse(refusal_reason::UnknownProgram, request.program.value);
    if (const auto it = p->keys.find(request.key);
        it != p->keys.end() && it->second != request.turn) {
        return refuse(refusal_reason::KeyReused,
                      fmt::format("the key was used for turn {}", it->second));
    }
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
    if (auto over = refusalIfEnded(*p, nowUnixMs))
        return tl::unexpected(std::move(*over));
    const std::int64_t next = p->lastTurn + 1;
    if (p->open && request.turn == p->open->turn + 1)
        return wait_for_previous_turn{};
    if (request.turn != next) {
        return refuse(refusal_reason::TurnOutOfOrder,
                      fmt::format("turn {} came, turn {} comes next", request.turn, next));
    }
    if (p->maxTurns != 0 && request.turn > p->maxTurns) {
        return refuse(refusal_reason::TooManyTurns,
                      fmt::format("the class allows {} turns", p->maxTurns));
    }
    // The prompt of a model call is the whole history and the new messages.
    const std::int64_t wanted
        = request.reserveTokens + (request.kind == call_kind::Model ? p->historyTokens : 0);
    const std::int64_t free = freeTokens(request.program);
    if (wanted > free) {
        return refuse(refusal_reason::BudgetExhausted,
                      fmt::format("{} tokens wanted, {} free", wanted, free));
    }
    return begin_call{call_begun{request.program, request.turn, request.key, request.kind,
                                 request.idempotent, wanted}};
}

void program_registry::create(const program_created &r)
{
    program p;
    p.id = r.program;
    p.parent = r.parent;
    p.tenant = r.tenant;
    p.programClass = r.programClass;
    p.budgetTokens = r.budgetTokens;
    p.deadlineUnixMs = r.deadlineUnixMs;
    p.createdUnixMs = r.createdUnixMs;
    p.maxTurns = r.maxTurns;
    p.idleMs = r.idleMs;
    if (const auto parent = m_programs.find(p.parent); parent != m_programs.end()) {
        parent->second.children.push_back(p.id);
        p.ended = parent->second.ended;
    }
    m_programs.try_emplace(p.id, std::move(p));
}

void program_registry::apply(const journal_record &record)
{
    const auto it = m_programs.find(programOf(record));
    if (const auto *created = std::get_if<program_created>(&record)) {
        if (it == m_programs.end())
            create(*created);
        return;
    }
    if (it == m_programs.end())
        return;
    std::visit(
        [&](const auto &r) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(r)>, program_created>)
                applyTo(it->second, r);
        },
        record);
}

void program_registry::addReserved(const program_id &from, std::int64_t tokens)
{
    for (auto it = m_programs.find(from); it != m_programs.end();
         it = m_programs.find(it->second.parent))
        it->second.reservedTokens += tokens;
}

void program_registry::addSpent(const program_id &from, std::int64_t tokens)
{
    for (auto it = m_programs.find(from); it != m_programs.end();
         it = m_programs.find(it->second.parent))
        it->second.spentTokens += tokens;
}

void program_registry::settle(program &p, std::int64_t spent)
{
    addReserved(p.id, -p.open->reservedTokens);
    addSpent(p.id, spent);
    p.open.reset();
}

void program_registry::applyTo(program &p, const call_begun &r)
{
    if (p.open)
        return;
    p.open = open_call{r.turn, r.key, r.kind, r.idempotent, r.reservedTokens};
    p.keys.try_emplace(r.key, r.turn);
    if (!r.engine.empty())
        p.engines.insert(r.engine);
    addReserved(p.id, r.reservedTokens);
}

void program_registry::applyTo(program &p, const call_finished &r)
{
    if (!p.open || p.open->turn != r.turn || p.open->key != r.key)
        return;
    settle(p, r.spentTokens);
    p.lastTurn = r.turn;
    if (!r.engine.empty())
        p.engines.insert(r.engine);
    if (!r.messages.empty()) {
        if (!p.history.empty())
            p.history += ',';
        p.history += r.messages;
        p.historyTokens = r.spentTokens + chatTemplateTokens;
    }
    p.closed[r.turn] = closed_call{r.key, std::nullopt, r.status, r.reply, r.contentType};
}

void program_registry::applyTo(program &p, const call_failed &r)
{
    if (!p.open || p.open->turn != r.turn || p.open->key != r.key)
        return;
    // A model only reads and writes text, so its turn may run again after a death in mid-stream;
    // each attempt is charged. Closed as unknown, the turn could never get its whole answer.
    const bool repeatable = p.open->kind == call_kind::Model || p.open->idempotent;
    settle(p, r.spentTokens);
    if (r.ran == outcome::DidNotRun || repeatable)
        return;
    p.lastTurn = r.turn;
    p.closed[r.turn] = closed_call{r.key, r.ran, 0, {}, {}};
}

void program_registry::applyTo(program &p, const program_ended &r)
{
    end(p, r.reason);
}

void program_registry::applyTo(program &p, const program_released &r)
{
    p.engines.erase(r.engine);
}

void program_registry::end(program &p, end_reason reason)
{
    if (!p.ended)
        p.ended = reason;
    for (const program_id &child : p.children) {
        if (const auto it = m_programs.find(child); it != m_programs.end())
            end(it->second, reason);
    }
}

} // namespace azurehill
