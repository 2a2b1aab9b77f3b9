#include "turns/turn_ledger.h"

#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_rows.h"

namespace azurehill {

namespace {

/// In an outage those who wait look this often whether it is over. Looking costs no call.
constexpr duration lookPause = milliseconds(20);
/// How long the account of a broken turn is tried to be settled. What fails stays held, which is
/// safe: the program may only spend less.
constexpr duration settleTime = seconds(20);
/// A transaction may carry 1 MB, a third of which base64 takes.
constexpr std::size_t maxTransactionBytes = 700U << 10U;
/// Accounts that were not used for this long are read again from the store.
constexpr duration accountCacheRetention = seconds(90);
/// Rows stay this much longer than a turn has to be kept: clocks and answers lag.
constexpr duration removalMargin = seconds(10);

std::size_t bytesOf(const store_transaction &t)
{
    std::size_t sum = 0;
    for (const row_value &row : t.writes)
        sum += row.value.size();
    return sum;
}

/// \brief Resumes those who wait for \p freed at \p deadline, so that they can give up.
awaitable<void> wakeAt(std::shared_ptr<notifier> freed, time_point deadline)
{
    co_await sleepFor(deadline - runtime_clock::now());
    freed->notifyAll();
}

} // namespace

struct turn_ledger::account_change
{
    enum class change_kind { Reserve, Commit, Settle };

    change_kind kind = change_kind::Reserve;
    turn_claim claim;
    std::int64_t used = 0;
    /// The turn that a commit adds.
    turn_ptr added;
    /// The row is written even if nothing is held: a reservation whose answer was lost may still be
    /// on its way, and only a newer version makes its condition fail.
    bool always = false;
    /// Where the version of the written rows goes, if anybody wants it.
    store_version *writtenVersion = nullptr;

    write_urgency urgency() const
    {
        if (kind == change_kind::Reserve)
            return write_urgency::Begin;
        return kind == change_kind::Commit ? write_urgency::End : write_urgency::Upkeep;
    }

    /// \returns whether \p account shows that the step took effect.
    bool isDone(const token_account &account) const
    {
        const bool isHeld = account.holds.contains(claim.id.value);
        if (kind == change_kind::Reserve)
            return isHeld;
        return kind == change_kind::Settle && !isHeld && !always;
    }

    /// \returns \p account after the step, or nothing if the budget does not allow it.
    std::optional<token_account> apply(const token_account &account) const
    {
        if (kind == change_kind::Reserve) {
            auto held = hold(account, claim.id, claim.most, claim.budget);
            if (held && held->finishUnixMs == 0 && claim.finish) {
                held->finishUnixMs = unixMilliseconds() + toMilliseconds(*claim.finish);
                held->aimMs = claim.isFirst ? toMilliseconds(*claim.finish) : 0;
            }
            return held;
        }
        return settle(account, claim.id, used);
    }
};

turn_ledger::turn_ledger(store &rows, const ledger_settings &settings)
    : m_store(rows), m_settings(settings), m_cache(settings.cacheBytes)
{ }

turn_ledger::account_ptr turn_ledger::accountOf(const program_id &program)
{
    account_ptr &state = m_accounts[program];
    if (!state)
        state = std::make_shared<account_state>();
    state->usedAt = runtime_clock::now();
    return state;
}

program_timing turn_ledger::timingOf(const program_id &program) const
{
    const auto found = m_accounts.find(program);
    if (found == m_accounts.end() || found->second->account.finishUnixMs == 0)
        return {};
    const token_account &account = found->second->account;
    program_timing times;
    times.left = milliseconds(account.finishUnixMs - unixMilliseconds());
    if (account.aimMs > 0)
        times.aim = milliseconds(account.aimMs);
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
        return !item.second->busy && item.second.use_count() == 1
            && item.second->usedAt + accountCacheRetention < now;
    });
}

void turn_ledger::updateAccount(account_state &state, const std::vector<stored_row> &rows)
{
    for (const stored_row &row : rows) {
        // Versions never go back: an answer may be older than what is known here.
        if (!turn_rows::isAccountRow(row.name) || row.deleted || row.version <= state.version)
            continue;
        auto account = decodeAccount(row.value);
        state.isUnreadable = !account;
        if (!account) {
            m_unreadable.tell(log_event::RowUnreadable, row, "not an account");
            continue;
        }
        state.account = std::move(*account);
        state.version = row.version;
        state.stored.reset();
    }
}

void turn_ledger::recordEndedTurns(account_state &state,
                                   const std::map<turn_id, decoded_turn> &turns)
{
    for (const auto &[id, decoded] : turns) {
        if (decoded.value.used)
            state.ended.insert_or_assign(id, *decoded.value.used);
    }
}

void turn_ledger::settleEndedTurns(account_state &state)
{
    for (const auto &[id, used] : state.ended) {
        if (state.account.holds.contains(id.value))
            state.account = settle(std::move(state.account), id, used);
    }
}

awaitable<tl::expected<void, turn_refusal>> turn_ledger::reserve(turn_claim claim,
                                                                 time_point deadline)
{
    account_ptr state = accountOf(claim.program);
    if (isExhausted(state->account, claim.most, claim.budget))
        co_return tl::unexpected(turn_refusal::BudgetSpent);
    if (!m_store.isReachable())
        co_return tl::unexpected(turn_refusal::StoreUnavailable);
    account_change step;
    step.kind = account_change::change_kind::Reserve;
    step.claim = claim;
    store_version version = 0;
    step.writtenVersion = &version;
    const auto held = co_await apply(std::move(state), std::move(step), deadline);
    if (held)
        extendRetention(claim, version);
    co_return held;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::commit(turn_ptr answered, std::int64_t used, duration retention, time_point deadline)
{
    m_retention = std::max(m_retention, retention);
    const auto t = std::make_shared<turn>(*answered);
    t->used = used;
    account_ptr state = accountOf(t->program);
    account_change step;
    step.kind = account_change::change_kind::Commit;
    step.claim.id = t->id;
    step.claim.program = t->program;
    step.used = used;
    step.added = t;
    if (!m_settings.spansParts) {
        const bool indexed = co_await writeIndexRow(t, deadline);
        if (!indexed)
            co_return tl::unexpected(turn_refusal::StoreUnavailable);
    }
    store_version version = 0;
    step.writtenVersion = &version;
    tl::expected<void, turn_refusal> done;
    if (state->account.holds.contains(t->id.value))
        done = co_await commitHeldTurn(state, std::move(step), deadline);
    else
        done = co_await apply(state, std::move(step), deadline);
    if (done) {
        const time_point until = runtime_clock::now() + retention;
        m_cache.insert(t, until);
        m_rowRetention.onTurnAdded(t->program, t->id, version, until + removalMargin);
    }
    co_return done;
}

awaitable<void> turn_ledger::waitToRetry(duration pause, time_point deadline)
{
    // The end of an answer has some four seconds until its client leaves. With a pause, and a call
    // that the silence swallows, it was written up to 1.4 s after the store's return: of 567
    // answers cut off in an outage of 4 s more than 460 were cut after its end (logs of 87 hosts).
    if (m_store.isReachable()) {
        co_await sleepFor(pause);
        co_return;
    }
    while (!m_store.isReachable() && runtime_clock::now() < deadline)
        co_await sleepFor(lookPause);
}

awaitable<bool> turn_ledger::writeIndexRow(turn_ptr t, time_point deadline)
{
    // Before the turn itself: a turn that is there and can't be found would be lost, while an entry
    // without its turn only costs a read.
    duration pause = minStoreRetryDelay;
    while (runtime_clock::now() < deadline) {
        store_transaction entry;
        entry.urgency = write_urgency::End;
        entry.writes.push_back({turn_rows::index(t->id), t->program.value});
        const auto version
            = co_await m_store.transact(std::move(entry), storeAttemptDeadline(deadline));
        if (version)
            co_return true;
        co_await waitToRetry(pause, deadline);
        pause = std::min(2 * pause, maxStoreRetryDelay);
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
    return 2 * accountView(claim.program).committed <= claim.budget;
}

void turn_ledger::extendRetention(const turn_claim &claim, store_version version)
{
    if (claim.retention == duration::zero())
        return;
    const time_point until = runtime_clock::now() + claim.retention + removalMargin;
    m_rowRetention.onAccountChanged(claim.program, version, until);
}

awaitable<void> turn_ledger::settleHold(turn_claim claim, std::int64_t used)
{
    account_ptr state = accountOf(claim.program);
    account_change step;
    step.kind = account_change::change_kind::Settle;
    step.claim = claim;
    step.used = used;
    step.always = used == 0;
    store_version version = 0;
    step.writtenVersion = &version;
    const auto done
        = co_await apply(std::move(state), std::move(step), runtime_clock::now() + settleTime);
    if (done)
        extendRetention(claim, version);
    if (!done) {
        logDecision(log_event::HoldNotSettled,
                    {{"request", claim.id.value},
                     {"program", claim.program.value},
                     {"tokens", claim.most}});
    }
}

awaitable<bool> turn_ledger::waitForAccount(account_ptr state, time_point deadline)
{
    // The daemon's own changes of one account go one after the other: two at once would only make
    // each other's condition fail. In an outage the one under way may last for 20 s; without a
    // bound turns were refused after up to 11.8 s (logs of 87 hosts, store silent for 6.7 and 4 s).
    if (state->busy) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        spawn(executor, "wakeAt", wakeAt(state->freed, deadline));
    }
    while (state->busy && runtime_clock::now() < deadline) {
        const std::uint64_t seen = state->freed->version();
        co_await state->freed->waitPast(seen);
    }
    co_return !state->busy;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::apply(account_ptr state, account_change step, time_point deadline)
{
    const bool isFree = co_await waitForAccount(state, deadline);
    if (!isFree)
        co_return tl::unexpected(turn_refusal::StoreUnavailable);
    state->busy = true;
    const auto done = co_await applyExclusively(state, std::move(step), deadline);
    state->busy = false;
    state->freed->notifyAll();
    co_return done;
}

store_transaction turn_ledger::transactionOf(const account_state &state, const account_change &step,
                                             const token_account &next) const
{
    const row_name accountRow = turn_rows::account(step.claim.program);
    store_transaction t;
    t.urgency = step.urgency();
    t.conditions.push_back({accountRow, state.version});
    t.writes.push_back({accountRow, encodeAccount(next)});
    if (!step.added)
        return t;
    addTurnRows(t, state, step);
    return t;
}

void turn_ledger::addTurnRows(store_transaction &t, const account_state &state,
                              const account_change &step) const
{
    // The same turn must not be added twice by a try whose answer was lost.
    t.conditions.push_back({turn_rows::firstChunk(step.claim.program, step.claim.id), 0});
    for (const turn_ptr &one : chainOf(step.added)) {
        // A turn of another program is copied, so that a part holds whole chains. So is one whose
        // rows were removed with the program's part before this daemon began it anew.
        const bool isKept
            = state.version != 0 && (!state.stored || state.stored->contains(one->id));
        if (one != step.added && one->program == step.claim.program && isKept)
            continue;
        for (row_value &row : turn_rows::pieces(*one, step.claim.program, m_settings.rowBytes))
            t.writes.push_back(std::move(row));
    }
    if (m_settings.spansParts)
        t.writes.push_back({turn_rows::index(step.claim.id), step.claim.program.value});
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::commitHeldTurn(account_ptr state, account_change step, time_point deadline)
{
    // The account is changed by every turn of the program that begins meanwhile, on any daemon. An
    // end that depended on it failed at every fourth try (62 hosts, four turns in ten with others
    // of their program beside them), and sent all writes that shared its call again. Whoever
    // changes the account next sees the turn's row and charges what it used in place of what is
    // held.
    duration pause = minStoreRetryDelay;
    while (runtime_clock::now() < deadline) {
        store_transaction t;
        t.urgency = step.urgency();
        addTurnRows(t, *state, step);
        if (bytesOf(t) > maxTransactionBytes)
            co_return tl::unexpected(turn_refusal::TooLarge);
        const auto version
            = co_await m_store.transact(std::move(t), storeAttemptDeadline(deadline));
        // A conflict: an earlier try took effect.
        if (version || version.error().kind == store_error_kind::Conflict) {
            if (version)
                *step.writtenVersion = *version;
            else
                *step.writtenVersion = versionOf(version.error().current);
            recordStoredTurns(*state, step);
            state->ended.insert_or_assign(step.claim.id, step.used);
            if (!state->busy)
                settleEndedTurns(*state);
            co_return tl::expected<void, turn_refusal>();
        }
        co_await waitToRetry(pause, deadline);
        pause = std::min(2 * pause, maxStoreRetryDelay);
    }
    co_return tl::unexpected(turn_refusal::StoreUnavailable);
}

void turn_ledger::recordStoredTurns(account_state &state, const account_change &step)
{
    if (!state.stored || !step.added)
        return;
    for (const turn_ptr &one : chainOf(step.added))
        state.stored->insert(one->id);
}

void turn_ledger::onChangeCommitted(account_state &state, const account_change &step,
                                    token_account next, store_version version)
{
    if (state.version == 0)
        state.stored.emplace();
    recordStoredTurns(state, step);
    state.account = std::move(next);
    state.version = version;
}

awaitable<bool> turn_ledger::refreshAccount(account_ptr state, program_id program,
                                            time_point deadline)
{
    // With the turns: those that ended are charged less than what is held for them.
    row_range range = turn_rows::programRange(program);
    const auto page = co_await m_store.read(std::move(range), deadline);
    if (!page)
        co_return false;
    recordEndedTurns(*state, turn_rows::readTurns(page->rows));
    updateAccount(*state, page->rows);
    co_return true;
}

awaitable<tl::expected<void, turn_refusal>>
turn_ledger::applyExclusively(account_ptr state, account_change step, time_point deadline)
{
    auto unavailable = tl::unexpected(turn_refusal::StoreUnavailable);
    const bool isReserve = step.kind == account_change::change_kind::Reserve;
    const row_name accountRow = turn_rows::account(step.claim.program);
    const row_name firstChunk = turn_rows::firstChunk(step.claim.program, step.claim.id);
    bool isFresh = false;
    duration pause = minStoreRetryDelay;
    state->isUnreadable = false;
    while (runtime_clock::now() < deadline) {
        // Nobody knows what the program has spent, so it must get neither a fresh budget nor a
        // refusal for good. Asking again would only show the same row.
        if (state->isUnreadable)
            co_return unavailable;
        settleEndedTurns(*state);
        if (step.isDone(state->account))
            co_return tl::expected<void, turn_refusal>();
        const auto next = step.apply(state->account);
        if (!next && isFresh)
            co_return tl::unexpected(turn_refusal::BudgetSpent);
        if (!next) {
            // What is known here may be old: only the store's own row may refuse a turn.
            isFresh = co_await refreshAccount(state, step.claim.program,
                                              storeAttemptDeadline(deadline));
            if (!isFresh && !m_store.isReachable())
                co_return unavailable;
            if (!isFresh)
                co_await waitToRetry(pause, deadline);
            continue;
        }
        store_transaction t = transactionOf(*state, step, *next);
        const bool isTooLarge = bytesOf(t) > maxTransactionBytes;
        if (isTooLarge && (isFresh || state->version != 0))
            co_return tl::unexpected(turn_refusal::TooLarge);
        if (isTooLarge) {
            // An account that is not known here may be there: then its part holds the chain.
            isFresh = co_await refreshAccount(state, step.claim.program,
                                              storeAttemptDeadline(deadline));
            if (!isFresh)
                co_await sleepFor(pause);
            continue;
        }
        const auto version
            = co_await m_store.transact(std::move(t), storeAttemptDeadline(deadline));
        if (version) {
            onChangeCommitted(*state, step, *next, *version);
            settleEndedTurns(*state);
            if (step.writtenVersion)
                *step.writtenVersion = *version;
            co_return tl::expected<void, turn_refusal>();
        }
        if (version.error().kind == store_error_kind::Conflict) {
            // It shows the account, not which of its turns ended: it can't refuse for good.
            isFresh = false;
            if (!findRow(version.error().current, accountRow)) {
                state->account = {};
                state->version = 0;
            }
            updateAccount(*state, version.error().current);
            if (step.added && findRow(version.error().current, firstChunk)) {
                *step.writtenVersion = versionOf(version.error().current);
                co_return tl::expected<void, turn_refusal>(); // an earlier try took effect
            }
            continue;
        }
        if (version.error().kind == store_error_kind::Unknown)
            unavailable = tl::unexpected(turn_refusal::InDoubt);
        isFresh = false;
        if (isReserve && !m_store.isReachable())
            co_return unavailable;
        co_await waitToRetry(pause, deadline);
        pause = std::min(2 * pause, maxStoreRetryDelay);
    }
    co_return unavailable;
}

} // namespace azurehill
