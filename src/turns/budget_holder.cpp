#include "turns/budget_holder.h"

#include "core/log_event.h"
#include "turns/store_calls.h"

#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// Start of the ids of holds. Ids of clients' requests are hexadecimal numbers.
constexpr std::string_view holdPrefix = "hold-";
/// Maximum time for a hold that is made ahead of need.
constexpr duration aheadTimeout = seconds(5);

awaitable<void> notifyAt(std::shared_ptr<notifier> changed, time_point deadline)
{
    co_await sleepFor(deadline - runtime_clock::now());
    changed->notifyAll();
}

} // namespace

/// \brief A write that replaces a hold.
struct budget_holder::pending_hold
{
    turn_id id;
    std::int64_t tokens = 0;
    /// Tokens of the hold before that are charged as used.
    std::int64_t charged = 0;
};

struct budget_holder::held_program
{
    explicit held_program(std::int64_t tokens) : budget(tokens) { }

    program_budget budget;
    /// The present hold of this run of the daemon, or empty.
    turn_id hold;
    /// A hold that may have replaced it.
    std::optional<pending_hold> pending;
    bool isAccountRead = false;
    bool isChanging = false;
    std::shared_ptr<notifier> changed = std::make_shared<notifier>();
    turn_claim latestClaim;
    time_point usedAt;
};

budget_holder::budget_holder(asio::any_io_executor executor, turn_ledger &ledger)
    : m_executor(std::move(executor)), m_ledger(ledger)
{ }

void budget_holder::setSelf(const daemon_id &name, std::int64_t incarnation)
{
    m_holdPrefix = fmt::format("{}{}-{}-", holdPrefix, name.value, incarnation);
}

budget_holder::held_program_ptr budget_holder::programOf(const turn_claim &claim)
{
    held_program_ptr &p = m_programs[claim.program];
    if (!p)
        p = std::make_shared<held_program>(claim.budgetTokens);
    p->latestClaim = claim;
    p->usedAt = runtime_clock::now();
    return p;
}

bool budget_holder::tryReserve(const turn_claim &claim)
{
    held_program_ptr p = programOf(claim);
    if (!p->budget.tryReserve(claim.id, claim.maxOutputTokens))
        return false;
    m_ledger.retainAccount(claim);
    const bool isLow = p->budget.needsHoldFor(claim.maxOutputTokens);
    if (isLow && !p->isChanging && p->budget.nextHold(claim.maxOutputTokens) > 0)
        spawn(m_executor, "holdAhead", holdAhead(std::move(p)));
    return true;
}

awaitable<void> budget_holder::holdAhead(held_program_ptr p)
{
    turn_claim claim = p->latestClaim;
    const auto held = co_await extend(p, std::move(claim), runtime_clock::now() + aheadTimeout);
    logDecision(log_event::TokensHeldAhead,
                {{"program", p->latestClaim.program.value},
                 {"held", p->budget.held()},
                 {"used", p->budget.used()},
                 {"result", held ? "held" : std::string(toName(held.error()))}});
}

awaitable<tl::expected<void, turn_refusal>> budget_holder::reserve(turn_claim claim,
                                                                   time_point deadline)
{
    held_program_ptr p = programOf(claim);
    while (!p->budget.tryReserve(claim.id, claim.maxOutputTokens)) {
        if (runtime_clock::now() >= deadline)
            co_return tl::unexpected(turn_refusal::StoreUnavailable);
        if (p->isChanging) {
            spawn(m_executor, "wakeAt", notifyAt(p->changed, deadline));
            const std::uint64_t seen = p->changed->version();
            co_await p->changed->waitForChangeSince(seen);
            continue;
        }
        turn_claim copy = claim;
        const auto extended = co_await extend(p, std::move(copy), deadline);
        if (!extended)
            co_return tl::unexpected(extended.error());
    }
    co_return tl::expected<void, turn_refusal>();
}

awaitable<tl::expected<void, turn_refusal>>
budget_holder::extend(held_program_ptr p, turn_claim claim, time_point deadline)
{
    p->isChanging = true;
    if (!p->isAccountRead) {
        // A hold that begins from an outdated account fails at first.
        program_id program = claim.program;
        p->isAccountRead = co_await m_ledger.refresh(std::move(program), deadline);
    }
    const std::int64_t preferred = p->budget.nextHold(claim.maxOutputTokens);
    auto held = co_await replaceHold(p, claim, preferred, deadline);
    const std::int64_t smallest = p->budget.smallestHold(claim.maxOutputTokens);
    const bool isTooMuch = !held && held.error() == turn_refusal::BudgetSpent;
    if (isTooMuch && smallest < preferred)
        held = co_await replaceHold(p, claim, smallest, deadline);
    if (!held && held.error() == turn_refusal::BudgetSpent) {
        if (hasForeignHold(*p, claim.program))
            held = tl::unexpected(turn_refusal::StoreUnavailable);
        else if (!p->budget.hasOutstanding())
            spawn(m_executor, "settleHold", settleHold(p, claim));
    }
    p->isChanging = false;
    p->changed->notifyAll();
    co_return held;
}

awaitable<tl::expected<void, turn_refusal>> budget_holder::replaceHold(held_program_ptr p,
                                                                       const turn_claim &claim,
                                                                       std::int64_t tokens,
                                                                       time_point deadline)
{
    if (!p->pending && tokens <= 0) {
        m_ledger.retainAccount(claim);
        co_return tl::unexpected(turn_refusal::BudgetSpent);
    }
    if (!p->pending) {
        const turn_id id{fmt::format("{}{}", m_holdPrefix, ++m_lastHold)};
        p->pending = pending_hold{id, tokens, p->budget.used()};
    }
    // A write with unknown outcome is made again with the same figures until it is known.
    const pending_hold pending = *p->pending;
    turn_claim holding = claim;
    holding.id = pending.id;
    holding.maxOutputTokens = pending.tokens;
    used_holds replaced;
    if (!p->hold.empty())
        replaced.emplace_back(p->hold, pending.charged);
    const auto held = co_await m_ledger.reserve(std::move(holding), deadline, std::move(replaced));
    if (held) {
        p->hold = pending.id;
        p->budget.onHeld(pending.tokens, pending.charged);
    }
    if (held || held.error() != turn_refusal::InDoubt)
        p->pending.reset();
    co_return held;
}

bool budget_holder::isSharedHold(const turn_id &id)
{
    return id.value.starts_with(holdPrefix);
}

bool budget_holder::hasForeignHold(const held_program &p, const program_id &program) const
{
    const std::vector<turn_id> holds = m_ledger.holdsOf(program);
    return std::any_of(holds.begin(), holds.end(),
                       [&](const turn_id &id) { return isSharedHold(id) && id != p.hold; });
}

awaitable<void> budget_holder::settleHold(held_program_ptr p, turn_claim claim)
{
    if (p->hold.empty() || p->pending)
        co_return;
    claim.id = std::exchange(p->hold, {});
    claim.maxOutputTokens = p->budget.held();
    // Turns that have not ended may still use their maximum.
    const std::int64_t used = p->budget.used() + p->budget.outstanding();
    p->budget = program_budget(p->budget.budget());
    co_await m_ledger.settleHold(std::move(claim), used);
}

void budget_holder::settle(const program_id &program, const turn_id &turn, std::int64_t used)
{
    const auto found = m_programs.find(program);
    if (found != m_programs.end())
        found->second->budget.settle(turn, used);
}

void budget_holder::expire(time_point now)
{
    // A hold that is forgotten earlier than its account is removed counts as another daemon's: the
    // program can't use these tokens any more.
    std::erase_if(m_programs, [now](const auto &item) {
        const held_program &p = *item.second;
        return !p.isChanging && now > p.usedAt + p.latestClaim.retention;
    });
}

awaitable<void> budget_holder::release(time_point deadline)
{
    auto remaining = std::make_shared<int>(0);
    for (const auto &[program, p] : m_programs) {
        if (p->hold.empty())
            continue;
        ++*remaining;
        spawn(m_executor, "releaseHolds", releaseHolds(p, remaining));
    }
    constexpr duration pollInterval = milliseconds(20);
    while (*remaining > 0 && runtime_clock::now() < deadline)
        co_await sleepFor(pollInterval);
}

awaitable<void> budget_holder::releaseHolds(held_program_ptr p, std::shared_ptr<int> remaining)
{
    turn_claim claim = p->latestClaim;
    co_await settleHold(p, std::move(claim));
    --*remaining;
}

} // namespace azurehill
