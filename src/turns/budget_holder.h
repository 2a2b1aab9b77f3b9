#pragma once

#include "runtime/runtime.h"
#include "turns/program_budget.h"
#include "turns/turn_ledger.h"

#include <map>
#include <memory>

namespace azurehill {

/// \brief Holds tokens of programs in the store for several turns at once, so that a dispatcher can
/// let most turns run without a call to the store.
///
/// A hold is durable before any turn runs on it, and belongs to this run of the daemon. If the
/// daemon dies, its holds stay in the accounts: tokens are then held that no turn used, but none is
/// used that was not held.
class budget_holder
{
public:
    /// \param ledger must outlive this object.
    budget_holder(asio::any_io_executor executor, turn_ledger &ledger);

    /// \brief Sets the name and incarnation under which this daemon holds tokens.
    void setSelf(const daemon_id &name, std::int64_t incarnation);

    /// \brief Reserves the maximum output of a turn from tokens that are held already.
    /// \returns false if a call to the store is needed.
    bool tryReserve(const turn_claim &claim);
    /// \brief Reserves the maximum output of a turn, with a further hold if needed.
    /// \returns BudgetSpent only if the tokens used by turns alone leave too little of the budget.
    awaitable<tl::expected<void, turn_refusal>> reserve(turn_claim claim, time_point deadline);
    /// \brief Replaces the reservation of a turn by the tokens that it used.
    void settle(const program_id &program, const turn_id &turn, std::int64_t used);

    /// \returns whether \p id is the id of a hold for several turns, which may be unused.
    static bool isSharedHold(const turn_id &id);

    /// \brief Forgets the programs whose accounts are no longer needed.
    void expire(time_point now);
    /// \brief Writes the tokens used in place of the holds, until \p deadline.
    awaitable<void> release(time_point deadline);

private:
    struct pending_hold;
    struct held_program;
    using held_program_ptr = std::shared_ptr<held_program>;

    held_program_ptr programOf(const turn_claim &claim);
    /// \brief Holds more tokens before a turn needs them.
    awaitable<void> holdAhead(held_program_ptr p);
    /// \brief Holds so many tokens more that the turn of \p claim can be reserved.
    awaitable<tl::expected<void, turn_refusal>> extend(held_program_ptr p, turn_claim claim,
                                                       time_point deadline);
    /// \brief Replaces the hold of \p p by one of \p tokens, and charges what was used of it.
    awaitable<tl::expected<void, turn_refusal>> replaceHold(held_program_ptr p,
                                                            const turn_claim &claim,
                                                            std::int64_t tokens,
                                                            time_point deadline);
    /// \returns whether the account of \p program has a hold of another daemon, or of an earlier
    /// run of this one, of which turns may have used less.
    bool hasForeignHold(const held_program &p, const program_id &program) const;
    /// \brief Writes the tokens used in place of the hold of \p p, and the maximum of turns that
    /// have not ended.
    awaitable<void> settleHold(held_program_ptr p, turn_claim claim);
    awaitable<void> releaseHolds(held_program_ptr p, std::shared_ptr<int> remaining);

    asio::any_io_executor m_executor;
    turn_ledger &m_ledger;
    std::string m_holdPrefix;
    std::uint64_t m_lastHold = 0;
    std::map<program_id, held_program_ptr> m_programs;
};

} // namespace azurehill
