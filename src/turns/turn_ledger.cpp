#include "turns/turn_ledger.h"

#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_rows.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Interval at which waiting turns check whether a store outage is over. A check makes no call.
constexpr duration outagePollInterval = milliseconds(20);
/// Timeout for settling the hold of a turn that is not committed. If it fails, the tokens stay
/// held, which is safe: the program can only spend less.
constexpr duration settleTimeout = seconds(20);
/// Limit on the values of a transaction. The store accepts 1 MB, a third of which is base64
/// overhead.
constexpr std::size_t maxTransactionBytes = 700U << 10U;
/// Accounts that have not been used for this long are evicted and read from the store again.
constexpr duration accountCacheRetention = seconds(90);
/// Programs whose rows are tracked for each whose account is cached: a row is tracked for its
/// retention time and takes less memory.
constexpr std::size_t trackedPerCachedProgram = 4;
/// Age of an account's row from which retainAccount() has it written again, at most a part of
/// removalMargin.
constexpr duration renewalAge = turn_ledger::removalMargin / 2;
/// Accounts written per call of renewAccounts(), and the timeout of each.
constexpr std::size_t maxRenewals = 8;
constexpr duration renewalTimeout = seconds(2);

std::size_t bytesOf(const store_transaction &t)
{
    std::size_t sum = 0;
    for (const row_value &row : t.writes)
        sum += row.value.size();
    return sum;
}

/// \brief Notifies \p changeFinished at \p deadline, so that waiting coroutines can time out.
awaitable<void> notifyAt(std::shared_ptr<notifier> changeFinished, time_point deadline)
{
    co_await sleepFor(deadline - runtime_clock::now());
    changeFinished->notifyAll();
}

} // namespace

struct turn_ledger::account_change
{
    enum class change_kind { Reserve, Commit, Settle, Renew };

    change_kind kind = change_kind::Reserve;
    turn_claim claim;
    std::int64_t used = 0;
    /// Holds that a reservation replaces.
    used_holds replaced;
    /// The turn that a commit adds.
    turn_ptr added;
    /// Write the row even if nothing is held: a reservation whose response was lost may still
    /// arrive at the store, and only a newer version of the row makes its condition fail.
    bool forceWrite = false;
    /// Receives the version of the written rows, unless null.
    store_version *writtenVersion = nullptr;

    write_urgency urgency() const
    {
        if (kind == change_kind::Reserve)
            return write_urgency::Begin;
        return kind == change_kind::Commit ? write_urgency::End : write_urgency::Background;
    }

    /// \returns whether \p account already contains the change.
    bool isApplied(const token_account &account) const
    {
        const bool isHeld = account.holds.contains(claim.id.value);
        if (kind == change_kind::Reserve)
            return isHeld;
        // An account without tokens need not be kept.
        if (kind == change_kind::Renew)
            return account.committed() == 0;
        return kind == change_kind::Settle && !isHeld && !forceWrite;
    }

    /// \returns \p account after the change, or nothing if that would exceed the budget.
    std::optional<token_account> apply(const token_account &account) const
    {
        auto next = applyTokens(account);
        return next ? std::optional(retain(std::move(*next), claim.retention)) : std::nullopt;
    }

private:
    std::optional<token_account> applyTokens(const token_account &account) const
    {
        if (kind == change_kind::Renew)
            return account;
        if (kind == change_kind::Reserve) {
            token_account settled = account;
            for (const auto &[id, tokens] : replaced)
                settled = settle(std::move(settled), id, tokens);
            auto held
                = hold(std::move(settled), claim.id, claim.maxOutputTokens, claim.budgetTokens);
            if (held && held->finishUnixMs == 0 && claim.timeToFinish) {
                held->finishUnixMs = unixMilliseconds() + toMilliseconds(*claim.timeToFinish);
                held->timeBudgetMs = claim.isFirst ? toMilliseconds(*claim.timeToFinish) : 0;
            }
            return held;
        }
        return settle(account, claim.id, used);
    }
};

turn_ledger::turn_ledger(store &rows, const ledger_settings &settings)
    : m_store(rows), m_settings(settings), m_cache(settings.cacheBytes),
      m_abandonedScan(settings.seed)
{
    if (settings.cachedPrograms < std::numeric_limits<std::size_t>::max())
        setCacheLimits(settings.cacheBytes, settings.cachedPrograms);
}

std::vector<turn_id> turn_ledger::holdsOf(const program_id &program) const
{
    std::vector<turn_id> ids;
    const auto found = m_accounts.find(program);
    if (found == m_accounts.end())
        return ids;
    for (const auto &[id, tokens] : found->second->account.holds)
        ids.push_back({id});
    return ids;
}

turn_ledger::account_ptr turn_ledger::accountOf(const program_id &program)
{
    account_ptr &state = m_accounts[program];
    if (!state)
        state = std::make_shared<account_state>();
    state->lastUsedAt = runtime_clock::now();
    return state;
}

program_timing turn_ledger::timingOf(const program_id &program) const
{
    const auto found = m_accounts.find(program);
    if (found == m_accounts.end() || found->second->account.finishUnixMs == 0)
        return {};
    const token_account &account = found->second->account;
    program_timing times;
    times.timeLeft = milliseconds(account.finishUnixMs - unixMilliseconds());
    if (account.timeBudgetMs > 0)
        times.timeBudget = milliseconds(account.timeBudgetMs);
    return times;
}

account_view turn_ledger::accountView(const program_id &program) const
{
    const auto found = m_accounts.find(program);
    if (found == m_accounts.end())
        return {};
    return {found->second->account.committed(), found->second->version};
}

void turn_ledger::expire(time_point now)
{
    m_cache.expire(now);
    std::erase_if(m_accounts, [now](const auto &item) {
        return !item.second->isChanging && item.second.use_count() == 1
            && item.second->lastUsedAt + accountCacheRetention < now;
    });
    evictAccounts();
}

void turn_ledger::setCacheLimits(std::size_t turnBytes, std::size_t programs)
{
    m_settings.cachedPrograms = programs;
    m_cache.setMaxBytes(turnBytes);
    m_rowRetention.setMaxPrograms(trackedPerCachedProgram * programs);
}

void turn_ledger::evictAccounts()
{
    if (m_accounts.size() <= m_settings.cachedPrograms)
        return;
    std::vector<std::pair<time_point, program_id>> unused;
    for (const auto &[program, state] : m_accounts) {
        if (!state->isChanging && state.use_count() == 1)
            unused.emplace_back(state->lastUsedAt, program);
    }
    // Some more than necessary, so that the next ones can be added without a search each.
    const std::size_t kept = m_settings.cachedPrograms - m_settings.cachedPrograms / 8;
    const std::size_t surplus = std::min(unused.size(), m_accounts.size() - kept);
    const auto end = unused.begin() + static_cast<std::ptrdiff_t>(surplus);
    if (end != unused.end())
        std::nth_element(unused.begin(), end, unused.end());
    for (auto it = unused.begin(); it != end; ++it)
        m_accounts.erase(it->second);
}

void turn_ledger::updateAccount(account_state &state, const std::vector<stored_row> &rows)
{
    for (const stored_row &row : rows) {
        // Ignores stale rows: a read may return an older version than the cached one.
        if (!turn_rows::isAccountRow(row.name) || row.deleted || row.version <= state.version)
            continue;
        auto account = decodeAccount(row.value);
        state.isUnreadable = !account;
        if (!account) {
            m_unreadable.logOnce(log_event::RowUnreadable, row,
                                 "can't be decoded as a token account");
            continue;
        }
        state.account = std::move(*account);
        // An earlier release wrote no retention time.
        if (!state.account.retention)
            state.account.retention = m_retention.longest();
        state.version = row.version;
        state.writtenAt.reset();
        state.storedTurns.reset();
    }
}

void turn_ledger::recordEndedTurns(account_state &state,
                                   const std::map<turn_id, decoded_turn> &turns)
{
    for (const auto &[id, decoded] : turns) {
        if (decoded.value.chargedTokens)
            state.endedTurns.insert_or_assign(id, *decoded.value.chargedTokens);
    }
}

void turn_ledger::settleEndedTurns(account_state &state)
{
    for (const auto &[id, used] : state.endedTurns) {
        if (state.account.holds.contains(id.value))
            state.account = settle(std::move(state.account), id, used);
    }
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::reserve(turn_claim claim, time_point deadline, used_holds replaced)
{
    account_ptr state = accountOf(claim.program);
    if (isExhausted(state->account, claim.maxOutputTokens, claim.budgetTokens)) {
        retainAccount(claim);
        co_return tl::unexpected(turn_refusal::BudgetSpent);
    }
    if (!m_store.isReachable())
        co_return tl::unexpected(turn_refusal::StoreUnavailable);
    account_change change;
    change.kind = account_change::change_kind::Reserve;
    change.claim = claim;
    change.replaced = std::move(replaced);
    store_version version = 0;
    change.writtenVersion = &version;
    const auto held = co_await apply(std::move(state), std::move(change), deadline);
    if (held)
        trackRetention(claim, version);
    else if (held.error() == turn_refusal::BudgetSpent)
        retainAccount(claim);
    co_return held;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::commit(turn_ptr answered, std::int64_t used, duration retention, time_point deadline)
{
    const auto t = std::make_shared<turn>(*answered);
    t->chargedTokens = used;
    const duration untilEnd = std::max(duration::zero(), deadline - runtime_clock::now());
    t->retention = std::chrono::ceil<seconds>(retention + untilEnd);
    account_ptr state = accountOf(t->program);
    account_change change;
    change.kind = account_change::change_kind::Commit;
    change.claim.id = t->id;
    change.claim.program = t->program;
    change.claim.retention = *t->retention;
    change.used = used;
    change.added = t;
    if (!m_settings.spansParts) {
        const bool indexed = co_await writeIndexRow(t, deadline);
        if (!indexed)
            co_return tl::unexpected(turn_refusal::StoreUnavailable);
    }
    store_version version = 0;
    change.writtenVersion = &version;
    tl::expected<void, turn_refusal> done;
    if (state->account.holds.contains(t->id.value))
        done = co_await commitHeldTurn(state, std::move(change), deadline);
    else
        done = co_await apply(state, std::move(change), deadline);
    if (done) {
        const time_point now = runtime_clock::now();
        m_cache.insert(t, now + retention);
        m_rowRetention.onWritten(t->program, version, now, *t->retention + removalMargin);
    }
    co_return done;
}

awaitable<void> turn_ledger::waitToRetry(duration retryDelay, time_point deadline)
{
    // A client disconnects about four seconds after the last event if the end of its response is
    // missing. With a backoff delay and one more call that times out, a commit was written up to
    // 1.4 s after the store had recovered: in an outage of 4 s on 87 hosts, more than 460 of 567
    // responses that were cut off were cut after the outage had ended.
    if (m_store.isReachable()) {
        co_await sleepFor(retryDelay);
        co_return;
    }
    while (!m_store.isReachable() && runtime_clock::now() < deadline)
        co_await sleepFor(outagePollInterval);
}

awaitable<bool> turn_ledger::writeIndexRow(turn_ptr t, time_point deadline)
{
    // Written before the turn itself: a turn without an index row could not be found, while an
    // index row without its turn only costs a read.
    duration retryDelay = minStoreRetryDelay;
    while (runtime_clock::now() < deadline) {
        store_transaction indexWrite;
        indexWrite.urgency = write_urgency::End;
        indexWrite.writes.push_back({turn_rows::index(t->id), t->program.value});
        const auto version
            = co_await m_store.transact(std::move(indexWrite), storeAttemptDeadline(deadline));
        if (version)
            co_return true;
        co_await waitToRetry(retryDelay, deadline);
        retryDelay = std::min(2 * retryDelay, maxStoreRetryDelay);
    }
    co_return false;
}

awaitable<bool> turn_ledger::refresh(program_id program, time_point deadline)
{
    if (!m_store.isReachable())
        co_return false;
    account_ptr state = accountOf(program);
    co_return co_await refreshAccount(std::move(state), std::move(program),
                                      storeAttemptDeadline(deadline));
}

bool turn_ledger::mayKeepHold(const turn_claim &claim) const
{
    return 2 * accountView(claim.program).committed <= claim.budgetTokens;
}

void turn_ledger::trackRetention(const turn_claim &claim, store_version version)
{
    if (claim.retention == duration::zero() || version == 0)
        return;
    m_rowRetention.onWritten(claim.program, version, runtime_clock::now(),
                             std::chrono::ceil<seconds>(claim.retention) + removalMargin);
}

void turn_ledger::retainAccount(const turn_claim &claim)
{
    const account_ptr state = accountOf(claim.program);
    const time_point now = runtime_clock::now();
    const bool isRecent = state->writtenAt && now <= *state->writtenAt + renewalAge;
    const bool isLongEnough = state->account.retention >= std::optional(claim.retention);
    if (!isRecent || !isLongEnough)
        m_renewals.insert_or_assign(claim.program, account_renewal{claim, now + claim.retention});
}

awaitable<void> turn_ledger::renewAccounts()
{
    std::vector<account_renewal> renewals;
    while (!m_renewals.empty() && renewals.size() < maxRenewals && m_store.isReachable()) {
        renewals.push_back(std::move(m_renewals.begin()->second));
        m_renewals.erase(m_renewals.begin());
    }
    for (const account_renewal &renewal : renewals) {
        account_ptr state = accountOf(renewal.claim.program);
        store_version version = 0;
        account_change change;
        change.kind = account_change::change_kind::Renew;
        change.claim = renewal.claim;
        change.writtenVersion = &version;
        const auto done = co_await apply(std::move(state), std::move(change),
                                         runtime_clock::now() + renewalTimeout);
        if (done)
            trackRetention(renewal.claim, version);
        else if (runtime_clock::now() < renewal.deadline)
            m_renewals.try_emplace(renewal.claim.program, renewal);
    }
}

awaitable<void> turn_ledger::settleHold(turn_claim claim, std::int64_t used)
{
    account_ptr state = accountOf(claim.program);
    account_change change;
    change.kind = account_change::change_kind::Settle;
    change.claim = claim;
    change.used = used;
    change.forceWrite = used == 0;
    store_version version = 0;
    change.writtenVersion = &version;
    const auto done
        = co_await apply(std::move(state), std::move(change), runtime_clock::now() + settleTimeout);
    if (done)
        trackRetention(claim, version);
    if (!done) {
        logDecision(log_event::ReservationNotSettled,
                    {{"request", claim.id.value},
                     {"program", claim.program.value},
                     {"tokens", claim.maxOutputTokens}});
    }
}

awaitable<bool> turn_ledger::waitForAccount(account_ptr state, time_point deadline)
{
    // The daemon's own changes of an account are serialised: concurrent ones would only make each
    // other's conditions fail. In an outage, a change may take 20 s. Without this deadline, turns
    // were refused after up to 11.8 s (87 hosts, store not responding for 6.7 s and 4 s).
    if (state->isChanging) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        spawn(executor, "wakeAt", notifyAt(state->changeFinished, deadline));
    }
    while (state->isChanging && runtime_clock::now() < deadline) {
        const std::uint64_t seen = state->changeFinished->version();
        co_await state->changeFinished->waitForChangeSince(seen);
    }
    co_return !state->isChanging;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::apply(account_ptr state, account_change change, time_point deadline)
{
    const bool isFree = co_await waitForAccount(state, deadline);
    if (!isFree)
        co_return tl::unexpected(turn_refusal::StoreUnavailable);
    state->isChanging = true;
    const auto done = co_await applyExclusively(state, std::move(change), deadline);
    state->isChanging = false;
    state->changeFinished->notifyAll();
    co_return done;
}

store_transaction turn_ledger::transactionOf(const account_state &state,
                                             const account_change &change,
                                             const token_account &next) const
{
    const row_name accountRow = turn_rows::account(change.claim.program);
    store_transaction t;
    t.urgency = change.urgency();
    t.conditions.push_back({accountRow, state.version});
    t.writes.push_back({accountRow, encodeAccount(next)});
    if (!change.added)
        return t;
    addTurnRows(t, state, change);
    return t;
}

void turn_ledger::addTurnRows(store_transaction &t, const account_state &state,
                              const account_change &change) const
{
    // Keeps a retry from adding the turn again after an attempt whose response was lost.
    t.conditions.push_back({turn_rows::firstChunk(change.claim.program, change.claim.id), 0});
    for (const turn_ptr &one : chainOf(change.added)) {
        // Copies turns of other programs, so that a partition holds complete chains. Also copies
        // own turns whose rows were removed before this daemon created the partition again.
        const bool isKept
            = state.version != 0 && (!state.storedTurns || state.storedTurns->contains(one->id));
        if (one != change.added && one->program == change.claim.program && isKept)
            continue;
        for (row_value &row :
             turn_rows::encodeRows(*one, change.claim.program, m_settings.rowBytes))
            t.writes.push_back(std::move(row));
    }
    if (m_settings.spansParts)
        t.writes.push_back({turn_rows::index(change.claim.id), change.claim.program.value});
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::commitHeldTurn(account_ptr state, account_change change, time_point deadline)
{
    // Every turn of the program that begins in the meantime, on any daemon, changes the account.
    // When commits were conditional on the account, every fourth attempt failed (62 hosts, four in
    // ten turns running in parallel with others of their program), and all writes batched into the
    // same call had to be repeated. Instead, the next change of the account finds the turn's row
    // and replaces the hold by the tokens used.
    duration retryDelay = minStoreRetryDelay;
    while (runtime_clock::now() < deadline) {
        store_transaction t;
        t.urgency = change.urgency();
        addTurnRows(t, *state, change);
        if (bytesOf(t) > maxTransactionBytes)
            co_return tl::unexpected(turn_refusal::TooLarge);
        const auto version
            = co_await m_store.transact(std::move(t), storeAttemptDeadline(deadline));
        // A conflict means that an earlier attempt took effect.
        if (version || version.error().kind == store_error_kind::Conflict) {
            if (version)
                *change.writtenVersion = *version;
            else
                *change.writtenVersion = versionOf(version.error().current);
            recordStoredTurns(*state, change);
            state->endedTurns.insert_or_assign(change.claim.id, change.used);
            if (!state->isChanging)
                settleEndedTurns(*state);
            co_return tl::expected<void, turn_refusal>();
        }
        co_await waitToRetry(retryDelay, deadline);
        retryDelay = std::min(2 * retryDelay, maxStoreRetryDelay);
    }
    co_return tl::unexpected(turn_refusal::StoreUnavailable);
}

void turn_ledger::recordStoredTurns(account_state &state, const account_change &change)
{
    if (!state.storedTurns || !change.added)
        return;
    for (const turn_ptr &one : chainOf(change.added))
        state.storedTurns->insert(one->id);
}

void turn_ledger::onChangeCommitted(account_state &state, const account_change &change,
                                    token_account next, store_version version)
{
    if (state.version == 0)
        state.storedTurns.emplace();
    recordStoredTurns(state, change);
    state.account = std::move(next);
    state.version = version;
}

awaitable<bool> turn_ledger::refreshAccount(account_ptr state, program_id program,
                                            time_point deadline)
{
    // Reads the turns as well: the holds of ended turns are replaced by the tokens they used.
    row_range range = turn_rows::programRange(program);
    const auto page = co_await m_store.read(std::move(range), deadline);
    if (!page)
        co_return false;
    recordEndedTurns(*state, turn_rows::readTurns(page->rows));
    updateAccount(*state, page->rows);
    co_return true;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::applyExclusively(account_ptr state, account_change change, time_point deadline)
{
    auto unavailable = tl::unexpected(turn_refusal::StoreUnavailable);
    const bool isReserve = change.kind == account_change::change_kind::Reserve;
    const row_name accountRow = turn_rows::account(change.claim.program);
    const row_name firstChunk = turn_rows::firstChunk(change.claim.program, change.claim.id);
    bool isFresh = false;
    duration retryDelay = minStoreRetryDelay;
    state->isUnreadable = false;
    while (runtime_clock::now() < deadline) {
        // The tokens spent are unknown, so the program must get neither a new budget nor a
        // permanent refusal. A retry would only read the same row.
        if (state->isUnreadable)
            co_return unavailable;
        settleEndedTurns(*state);
        if (change.isApplied(state->account))
            co_return tl::expected<void, turn_refusal>();
        const auto next = change.apply(state->account);
        if (!next && isFresh)
            co_return tl::unexpected(turn_refusal::BudgetSpent);
        if (!next) {
            // The cached account may be out of date: only a row just read may refuse a turn.
            isFresh = co_await refreshAccount(state, change.claim.program,
                                              storeAttemptDeadline(deadline));
            if (!isFresh && !m_store.isReachable())
                co_return unavailable;
            if (!isFresh)
                co_await waitToRetry(retryDelay, deadline);
            continue;
        }
        store_transaction t = transactionOf(*state, change, *next);
        const bool isTooLarge = bytesOf(t) > maxTransactionBytes;
        if (isTooLarge && (isFresh || state->version != 0))
            co_return tl::unexpected(turn_refusal::TooLarge);
        if (isTooLarge) {
            // The account may exist without being cached: then its partition already holds the
            // chain.
            isFresh = co_await refreshAccount(state, change.claim.program,
                                              storeAttemptDeadline(deadline));
            if (!isFresh)
                co_await sleepFor(retryDelay);
            continue;
        }
        const time_point began = runtime_clock::now();
        const auto version
            = co_await m_store.transact(std::move(t), storeAttemptDeadline(deadline));
        if (version) {
            onChangeCommitted(*state, change, *next, *version);
            state->writtenAt = began;
            settleEndedTurns(*state);
            if (change.writtenVersion)
                *change.writtenVersion = *version;
            co_return tl::expected<void, turn_refusal>();
        }
        if (version.error().kind == store_error_kind::Conflict) {
            // The conflict returns the account but not the ended turns, so it must not cause a
            // permanent refusal.
            isFresh = false;
            if (!findRow(version.error().current, accountRow)) {
                state->account = {};
                state->version = 0;
                state->writtenAt.reset();
            }
            updateAccount(*state, version.error().current);
            if (change.added && findRow(version.error().current, firstChunk)) {
                *change.writtenVersion = versionOf(version.error().current);
                co_return tl::expected<void, turn_refusal>(); // an earlier attempt took effect
            }
            continue;
        }
        if (version.error().kind == store_error_kind::Unknown)
            unavailable = tl::unexpected(turn_refusal::InDoubt);
        isFresh = false;
        if (isReserve && !m_store.isReachable())
            co_return unavailable;
        co_await waitToRetry(retryDelay, deadline);
        retryDelay = std::min(2 * retryDelay, maxStoreRetryDelay);
    }
    co_return unavailable;
}

} // namespace azurehill
