#pragma once

#include "rows/unreadable_row_log.h"
#include "runtime/runtime.h"
#include "store/store.h"
#include "turns/abandoned_program_scan.h"
#include "turns/retention_policy.h"
#include "turns/row_retention_tracker.h"
#include "turns/token_account.h"
#include "turns/turn_cache.h"

#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace azurehill {

/// \brief Why a turn is refused.
enum class turn_refusal {
    /// The store is unreachable, or replied that the call had no effect.
    StoreUnavailable,
    /// The store did not respond: the call may still take effect.
    InDoubt,
    NoSuchTurn,
    BudgetSpent,
    TooLarge,
    /// The preceding turn exists, but the store's reads did not return it before the deadline.
    ReadsLag,
    /// The preceding turn exists, but no complete chain can be decoded from its rows. A retry would
    /// read the same rows.
    TurnUnreadable,
};

template <>
struct enum_names<turn_refusal>
{
    static constexpr std::array<std::string_view, 7> names
        = {"store_unavailable", "store_in_doubt", "no_such_turn",   "budget_spent",
           "too_large",         "reads_lag",      "turn_unreadable"};
};

/// \brief The step at which loading a turn failed, for the log.
enum class load_failure {
    /// No call was made, since the last calls to the store failed.
    Unreachable,
    /// A read failed.
    Read,
    /// The reads returned nothing, and the conditional transaction that confirms the absence of the
    /// turn failed.
    Confirm,
    /// The turn exists, but the reads returned a state from before it was added.
    Lag,
    /// The turn exists, but a read that is recent enough does not contain its whole chain.
    Chain,
};

template <>
struct enum_names<load_failure>
{
    static constexpr std::array<std::string_view, 5> names
        = {"unreachable", "read", "confirm", "lag", "chain"};
};

/// \brief Limits of the ledger.
struct ledger_settings
{
    /// Largest value of one row.
    std::size_t rowBytes = 64U << 10U;
    /// Whether a transaction may span partitions.
    bool spansParts = true;
    /// Limit on the memory of cached turns.
    std::size_t cacheBytes = 16U << 20U;
    /// Seed of this daemon's random choices.
    std::uint64_t seed = 1;
    /// Number of programs whose accounts are cached.
    std::size_t cachedPrograms = std::numeric_limits<std::size_t>::max();
};

/// \brief A turn's request for tokens of its program's budget.
struct turn_claim
{
    turn_id id;
    program_id program;
    /// Token budget of the whole program: the limit on the output of all its turns.
    std::int64_t budgetTokens = 0;
    /// Maximum number of tokens that this turn generates.
    std::int64_t maxOutputTokens = 0;
    /// Time until the program's target finish time, if the program stated one.
    std::optional<duration> timeToFinish;
    /// Whether this is the program's first turn.
    bool isFirst = false;
    /// How long the program's account is needed from now: until the end of the turn, and for the
    /// retention time after that.
    duration retention = duration::zero();
};

/// \brief Holds with the tokens used of each.
using used_holds = std::vector<std::pair<turn_id, std::int64_t>>;

/// \brief Local state of a program's account, for the log and for scheduling.
struct account_view
{
    std::int64_t committed = 0;
    store_version version = 0;
};

/// \brief Progress of a program against its target finish time.
struct program_timing
{
    /// Time until the target finish time; negative once it has passed. Empty if unknown.
    std::optional<duration> timeLeft;
    /// Time from the start of the program to its target finish time. Empty if unknown.
    std::optional<duration> timeBudget;
};

/// \brief Durable history and token accounting of programs, shared by all daemons through the
/// store.
///
/// Each program has its own partition with its account and its turns. So one read returns the whole
/// program, and shows for which ended turns the account still holds more than they used. A second
/// table maps the id of a turn to its program. Used from one thread.
class turn_ledger
{
public:
    /// Margin added to the retention time of rows: an answer's last bytes may reach its client that
    /// much later.
    static constexpr duration removalMargin = seconds(10);

    turn_ledger(store &rows, const ledger_settings &settings);

    /// \brief Loads the turn \p previous from the cache or the store.
    /// \param asker the requesting client account; a turn of another account is treated as absent.
    /// \param program the requesting program, whose partition is searched first.
    /// \returns the turn with its chain. NoSuchTurn is definite: the store confirmed it.
    awaitable<tl::expected<turn_ptr, turn_refusal>> load(account_id asker, program_id program,
                                                         turn_id previous, time_point deadline);

    /// \brief Reads the account of \p program to pick up the changes of other daemons.
    /// \param deadline deadline of the read.
    /// \returns whether it was read. If not, the next reservation starts from the cached account.
    awaitable<bool> refresh(program_id program, time_point deadline);

    /// \brief Holds the maximum output of a turn. The turn must not run before the hold is durable.
    /// \returns InDoubt if the hold may still take effect and therefore has to be settled.
    /// \param replaced holds that are replaced in the same write by the tokens used of each.
    awaitable<tl::expected<void, turn_refusal>> reserve(turn_claim claim, time_point deadline,
                                                        used_holds replaced = {});

    /// \brief Adds a completed turn and settles its hold. The end of the response may be sent to
    /// the client only after that.
    /// \param retention how long the turn is kept from the end of the response, which may come as
    /// late as \p deadline.
    awaitable<tl::expected<void, turn_refusal>> commit(turn_ptr answered, std::int64_t used,
                                                       duration retention, time_point deadline);

    /// \brief Settles the hold of a turn that is not committed: its response was incomplete, or the
    /// client keeps the history.
    /// \param used tokens that may have reached the client; 0 if the turn did not run.
    awaitable<void> settleHold(turn_claim claim, std::int64_t used);

    /// \returns whether the hold of \p claim may stay instead of being settled to the tokens used:
    /// true while at most half of the budget is committed. This saves a write, and a program with a
    /// scarce budget keeps the other half for what its turns really use.
    bool mayKeepHold(const turn_claim &claim) const;

    /// \brief Keeps the account of the claim's program for the claim's retention time from now,
    /// although the claim writes no row: its tokens are held already, or it is refused. An account
    /// that was last written some time ago is written again by removeExpiredRows().
    void retainAccount(const turn_claim &claim);

    /// \brief Sets the limits of the caches.
    void setCacheLimits(std::size_t turnBytes, std::size_t programs);

    /// \brief Sets the retention times of the current routes by the routes' names.
    void setRetentions(std::map<std::string, duration> retentions)
    {
        m_retention.setRoutes(std::move(retentions));
    }

    /// \returns the timing of \p program according to its cached account.
    program_timing timingOf(const program_id &program) const;

    /// \returns the cached account of \p program.
    account_view accountView(const program_id &program) const;

    /// \returns the ids of the holds in the cached account of \p program.
    std::vector<turn_id> holdsOf(const program_id &program) const;

    /// \brief Evicts the cached turns and accounts whose retention time is over at \p now.
    void expire(time_point now);

    /// \brief Removes the rows of programs whose retention time is over, a few programs per call.
    /// Before that, writes accounts again that are to be retained.
    awaitable<void> removeExpiredRows();

    /// \brief Looks for programs in the store whose rows no daemon tracks any more, if that is due.
    /// removeExpiredRows() then removes them.
    /// \param daemons number of live daemons.
    awaitable<void> findAbandonedRows(int daemons);

private:
    struct account_state
    {
        token_account account;
        /// Version of the account's row; 0 if it does not exist yet.
        store_version version = 0;
        /// The latest version of the row can't be decoded, so the tokens spent are unknown.
        bool isUnreadable = false;
        /// The turns in the program's partition, if this daemon created it and no other daemon has
        /// changed the account since. Without a value, all known turns of the program count as
        /// stored.
        std::optional<std::set<turn_id>> storedTurns;
        /// Turns that are known to have ended, with the tokens they used. The account's row may
        /// still hold their maximum output.
        std::unordered_map<turn_id, std::int64_t> endedTurns;
        /// When this daemon began to write the latest version of the row; empty if another daemon
        /// wrote it.
        std::optional<time_point> writtenAt;
        bool isChanging = false;
        std::shared_ptr<notifier> changeFinished = std::make_shared<notifier>();
        time_point lastUsedAt;
    };
    using account_ptr = std::shared_ptr<account_state>;
    struct account_renewal
    {
        turn_claim claim;
        time_point deadline;
    };
    /// \brief A change of an account, with the rows written in the same transaction.
    struct account_change;

    account_ptr accountOf(const program_id &program);
    /// \brief Evicts accounts beyond the limit, those unused for longest first. They are read from
    /// the store again when they are needed.
    void evictAccounts();
    /// \brief Tracks the retention of the rows that were written for \p claim.
    void trackRetention(const turn_claim &claim, store_version version);
    /// \brief Writes accounts again that would otherwise be removed too early, a few per call.
    awaitable<void> renewAccounts();
    /// \brief Reads the rows of \p tracked, and removes them if their retention time is over.
    awaitable<void> removeIfExpired(row_retention_tracker::tracked_program tracked);
    /// \returns how long \p rows, those of one program, are kept after the latest was written.
    duration retentionOf(const std::vector<stored_row> &rows) const;
    /// \returns the removal of \p rows and of the index rows of \p ownTurns.
    store_transaction removalOf(std::span<const stored_row> rows,
                                const std::set<turn_id> &ownTurns) const;
    /// \brief Removes \p rows, all those of \p program.
    /// \returns whether all were removed.
    awaitable<bool> removeRows(program_id program, std::vector<stored_row> rows);
    /// \brief Waits until no change of \p state is in progress. \returns false if the deadline
    /// passed first.
    awaitable<bool> waitForAccount(account_ptr state, time_point deadline);
    awaitable<tl::expected<void, turn_refusal>> apply(account_ptr state, account_change change,
                                                      time_point deadline);
    awaitable<tl::expected<void, turn_refusal>>
    applyExclusively(account_ptr state, account_change change, time_point deadline);
    /// \brief Updates \p state after \p change was committed: the account is \p next at \p version.
    static void onChangeCommitted(account_state &state, const account_change &change,
                                  token_account next, store_version version);
    store_transaction transactionOf(const account_state &state, const account_change &change,
                                    const token_account &next) const;
    /// \brief Records that the turn of \p change and its chain are in the program's partition.
    static void recordStoredTurns(account_state &state, const account_change &change);
    /// \brief Adds the turn of \p change, whose tokens are held, without writing the account.
    awaitable<tl::expected<void, turn_refusal>>
    commitHeldTurn(account_ptr state, account_change change, time_point deadline);
    void addTurnRows(store_transaction &t, const account_state &state,
                     const account_change &change) const;
    awaitable<bool> refreshAccount(account_ptr state, program_id program, time_point deadline);
    /// \brief Waits before a retry: for \p retryDelay, or, while the store is unreachable, until it
    /// can be reached again or \p deadline.
    awaitable<void> waitToRetry(duration retryDelay, time_point deadline);
    awaitable<bool> writeIndexRow(turn_ptr t, time_point deadline);
    /// \brief Result of reading a program's partition.
    struct turn_lookup
    {
        /// The wanted turn with its chain, or null.
        turn_ptr found;
        /// Version of the store that the read returned.
        store_version readVersion = 0;
    };
    /// \brief Where a turn is in the newest state of the store.
    struct turn_location
    {
        program_id program;
        /// Version of the row with the turn's first chunk.
        store_version version = 0;
    };
    awaitable<store_result<turn_lookup>> readProgram(program_id program, turn_id wanted,
                                                     time_point deadline);
    awaitable<store_result<turn_lookup>> readByIndex(turn_id wanted, time_point deadline);
    /// \brief Finds \p wanted by the conditions of transactions, which, unlike reads, are checked
    /// against the newest state.
    /// \returns its location, or nothing if there definitely is no such turn.
    awaitable<store_result<std::optional<turn_location>>> locate(turn_id wanted,
                                                                 time_point deadline);
    /// \returns the row \p name in the newest state of the store; version 0 if it is absent.
    awaitable<store_result<stored_row>> readNewestRow(row_name name, time_point deadline);
    /// \brief Reads the turn at \p location, with retries until the reads include its version.
    awaitable<tl::expected<turn_ptr, turn_refusal>>
    readUntilVisible(turn_location location, turn_id wanted, time_point deadline);
    void logTurnNotLoaded(const program_id &program, const turn_id &wanted, load_failure failure,
                          const std::string &detail) const;
    /// \brief Updates the account of \p program and the turn cache from its \p rows.
    /// \returns the turn \p wanted with its chain, or null.
    turn_ptr processProgramRows(const program_id &program, const std::vector<stored_row> &rows,
                                const turn_id &wanted);
    void updateAccount(account_state &state, const std::vector<stored_row> &rows);
    /// \brief Records the turns of \p turns, which have ended, with the tokens they used.
    static void recordEndedTurns(account_state &state,
                                 const std::map<turn_id, decoded_turn> &turns);
    /// \brief Replaces the holds of ended turns by the tokens they used.
    static void settleEndedTurns(account_state &state);

    store &m_store;
    ledger_settings m_settings;
    turn_cache m_cache;
    row_retention_tracker m_rowRetention;
    abandoned_program_scan m_abandonedScan;
    unreadable_row_log m_unreadable;
    std::unordered_map<program_id, account_ptr> m_accounts;
    retention_policy m_retention;
    /// Accounts that have to be written again, with the latest claim, and until when.
    std::unordered_map<program_id, account_renewal> m_renewals;
};

} // namespace azurehill
