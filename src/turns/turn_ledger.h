#pragma once

#include "rows/unreadable_row_log.h"
#include "runtime/runtime.h"
#include "store/store.h"
#include "turns/row_retention_tracker.h"
#include "turns/token_account.h"
#include "turns/turn_cache.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace azurehill {

/// \brief Why a turn can't go on.
enum class turn_refusal {
    /// The store can't be asked, or said that nothing was done.
    StoreUnavailable,
    /// The store did not answer: what was asked of it may still take effect.
    InDoubt,
    NoSuchTurn,
    BudgetSpent,
    TooLarge,
    /// The turn before exists, and the store's reads did not show it in time.
    ReadsLag,
    /// The turn before exists, and its rows don't make a chain: waiting would not change them.
    TurnUnreadable,
};

template <>
struct enum_names<turn_refusal>
{
    static constexpr std::array<std::string_view, 7> names
        = {"store_unavailable", "store_in_doubt", "no_such_turn",   "budget_spent",
           "too_large",         "reads_lag",      "turn_unreadable"};
};

/// \brief Where the search for a turn ended without telling whether it exists.
enum class load_failure {
    /// The store was not asked, since its last calls failed.
    Unreachable,
    /// A read failed.
    Read,
    /// The reads found nothing, and the condition that it does not exist was not answered.
    Confirm,
    /// The turn exists, and the reads are older than it.
    Lag,
    /// The turn exists, and what was read after it does not hold its whole chain.
    Chain,
};

template <>
struct enum_names<load_failure>
{
    static constexpr std::array<std::string_view, 5> names
        = {"unreachable", "read", "confirm", "lag", "chain"};
};

/// \brief Bounds of the ledger.
struct ledger_settings
{
    /// Largest value of one row.
    std::size_t rowBytes = 64U << 10U;
    /// Whether a transaction may span parts.
    bool spansParts = true;
    /// Bound on the turns kept in memory.
    std::size_t cacheBytes = 16U << 20U;
};

/// \brief What a turn asks of its program's budget.
struct turn_claim
{
    turn_id id;
    program_id program;
    /// Tokens that all turns of the program may generate.
    std::int64_t budget = 0;
    /// Tokens that this turn generates at the most.
    std::int64_t most = 0;
    /// Time until the program should be finished, if it said so.
    std::optional<duration> finish;
    /// Whether the program begins with this turn.
    bool isFirst = false;
    /// How long the program may come back, if no turn of it is kept; its account lasts as long.
    duration retention = duration::zero();
};

/// \brief A program's account as it is known here, for the log.
struct account_view
{
    std::int64_t committed = 0;
    store_version version = 0;
};

/// \brief How a program stands against the time that it should be finished.
struct program_timing
{
    /// Time that is left; negative once it is over. Nothing if unknown.
    std::optional<duration> left;
    /// Time that the program had at its start.
    std::optional<duration> aim;
};

/// \brief Makes turns and budgets durable in the store, so that any daemon can go on from them.
///
/// A program has a part of its own. It holds the program's account and its turns, so that one read
/// finds a whole program, and shows of which turns the account still holds more than they used. A
/// second table finds the program of a turn by the turn's id alone. Used from one thread.
class turn_ledger
{
public:
    turn_ledger(store &rows, const ledger_settings &settings);

    /// \brief Finds the turn \p previous, in memory or in the store.
    /// \param asker the account that asks; another's turn is answered like one that is not there.
    /// \param program the program that asks, where the turn is looked for first.
    /// \returns the turn with its chain. NoSuchTurn is certain: the store confirmed it.
    awaitable<tl::expected<turn_ptr, turn_refusal>> load(account_id asker, program_id program,
                                                         turn_id previous, time_point deadline);

    /// \brief Reads the account of \p program, so that what other daemons changed is known here.
    /// \param deadline when the store must have answered.
    /// \returns whether it was read. If not, a hold begins from what was known before.
    awaitable<bool> refresh(program_id program, time_point deadline);

    /// \brief Holds the most that a turn can generate. Nothing may run before this is durable.
    /// \returns InDoubt if the hold may still take effect, and so has to be settled.
    awaitable<tl::expected<void, turn_refusal>> reserve(turn_claim claim, time_point deadline);

    /// \brief Adds a turn that was answered whole and settles its account. The client may learn of
    /// the end of its answer only after that.
    awaitable<tl::expected<void, turn_refusal>> commit(turn_ptr answered, std::int64_t used,
                                                       duration retention, time_point deadline);

    /// \brief Settles a turn that no commit adds: it broke off, or its caller keeps the history.
    /// \param used tokens that may have reached the client; 0 if it did not run.
    awaitable<void> settleHold(turn_claim claim, std::int64_t used);

    /// \returns whether the hold of \p claim may stay in place of what the turn used: as long as no
    /// more than half of the budget is committed. It saves a write, and a program whose budget is
    /// scarce keeps the other half for what its turns use.
    bool mayKeepHold(const turn_claim &claim) const;

    /// \returns how \p program stands, as far as its account is known here.
    program_timing timingOf(const program_id &program) const;

    /// \returns the account of \p program as it is known here.
    account_view accountView(const program_id &program) const;

    void expire(time_point now);

    /// \brief Removes the rows of some programs whose turns nobody may continue from any more.
    awaitable<void> removeExpiredRows();

private:
    struct account_state
    {
        token_account account;
        /// Version of the account's row; 0 when it does not exist yet.
        store_version version = 0;
        /// The row as it was read last can't be decoded: what the program spent is not known.
        bool isUnreadable = false;
        /// The turns in the program's part, if this daemon began it and nobody else has written
        /// there since. Otherwise the part holds what was read from it.
        std::optional<std::set<turn_id>> stored;
        /// Turns that are known to have ended, and what they used. The account's row may still hold
        /// their most.
        std::unordered_map<turn_id, std::int64_t> ended;
        bool busy = false;
        std::shared_ptr<notifier> freed = std::make_shared<notifier>();
        time_point usedAt;
    };
    using account_ptr = std::shared_ptr<account_state>;
    /// \brief One change of an account with the rows that go with it.
    struct account_change;

    account_ptr accountOf(const program_id &program);
    /// \brief Has the rows of the claim's program removed when it can no longer come back.
    void extendRetention(const turn_claim &claim, store_version version);
    /// \brief Waits until no other change of \p state is under way. \returns whether that came by
    /// \p deadline.
    awaitable<bool> waitForAccount(account_ptr state, time_point deadline);
    awaitable<tl::expected<void, turn_refusal>> apply(account_ptr state, account_change step,
                                                      time_point deadline);
    awaitable<tl::expected<void, turn_refusal>>
    applyExclusively(account_ptr state, account_change step, time_point deadline);
    /// \brief Takes in that \p step made \p next the account at \p version.
    static void onChangeCommitted(account_state &state, const account_change &step,
                                  token_account next, store_version version);
    store_transaction transactionOf(const account_state &state, const account_change &step,
                                    const token_account &next) const;
    /// \brief Notes that the turn of \p step and its chain are in the program's part.
    static void recordStoredTurns(account_state &state, const account_change &step);
    /// \brief Adds the turn of \p step, whose tokens are held, and leaves its account as it is.
    awaitable<tl::expected<void, turn_refusal>>
    commitHeldTurn(account_ptr state, account_change step, time_point deadline);
    void addTurnRows(store_transaction &t, const account_state &state,
                     const account_change &step) const;
    awaitable<bool> refreshAccount(account_ptr state, program_id program, time_point deadline);
    /// \brief Waits before a call is made again: for \p pause, or in an outage until it is over.
    awaitable<void> waitToRetry(duration pause, time_point deadline);
    awaitable<bool> writeIndexRow(turn_ptr t, time_point deadline);
    /// \brief What a read of a program showed.
    struct turn_lookup
    {
        /// The wanted turn with its chain, or null.
        turn_ptr found;
        /// The store's version that was read.
        store_version readAt = 0;
    };
    /// \brief Where the store's newest state has a turn.
    struct turn_location
    {
        program_id program;
        /// Version of the turn's first row.
        store_version version = 0;
    };
    awaitable<store_result<turn_lookup>> readProgram(program_id program, turn_id wanted,
                                                     time_point deadline);
    awaitable<store_result<turn_lookup>> readByIndex(turn_id wanted, time_point deadline);
    /// \brief Asks the store by conditions, which lag behind nothing, where \p wanted is.
    /// \returns its place, or nothing if there is certainly no such turn.
    awaitable<store_result<std::optional<turn_location>>> locate(turn_id wanted,
                                                                 time_point deadline);
    /// \returns the version of \p name in the newest state with its value; version 0 if absent.
    awaitable<store_result<stored_row>> readNewestRow(row_name name, time_point deadline);
    /// \brief Reads the turn at \p place until the reads have caught up with it.
    awaitable<tl::expected<turn_ptr, turn_refusal>>
    readUntilVisible(turn_location place, turn_id wanted, time_point deadline);
    void logTurnNotLoaded(const program_id &program, const turn_id &wanted, load_failure step,
                          const std::string &detail) const;
    turn_ptr processProgramRows(const program_id &program, const std::vector<stored_row> &rows,
                                const turn_id &wanted);
    void updateAccount(account_state &state, const std::vector<stored_row> &rows);
    /// \brief Takes in which turns of the account's program \p turns shows as ended.
    static void recordEndedTurns(account_state &state,
                                 const std::map<turn_id, decoded_turn> &turns);
    /// \brief Charges ended turns what they used in place of what was held for them.
    static void settleEndedTurns(account_state &state);

    store &m_store;
    ledger_settings m_settings;
    turn_cache m_cache;
    row_retention_tracker m_rowRetention;
    unreadable_row_log m_unreadable;
    std::unordered_map<program_id, account_ptr> m_accounts;
    /// How long a turn is remembered here after it was read or added.
    duration m_retention = seconds(60);
};

} // namespace azurehill
