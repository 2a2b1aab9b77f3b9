#include "lending/credit_lender.h"

#include "core/log_event.h"
#include "runtime/runtime.h"
#include "turns/store_calls.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Interval at which held rows are renewed. It is short, so that most of their validity is left
/// when an outage of the store begins.
constexpr duration renewInterval = milliseconds(2500);
constexpr duration maintenanceInterval = milliseconds(250);
/// Minimum intervals between attempts to write a row, and to write one that a live other daemon was
/// last seen to hold.
constexpr duration retryInterval = milliseconds(40);
constexpr duration foreignRowRetryInterval = milliseconds(500);
/// Delay before a row is handed over to its preferred holder. It keeps flapping members from moving
/// rows back and forth.
constexpr duration handOverDelay = seconds(2);
constexpr duration rowWriteTimeout = milliseconds(700);
/// Attempts to write a row before giving up, when each finds a conflicting version.
constexpr int maxAttempts = 4;

} // namespace

credit_lender::credit_lender(asio::any_io_executor executor, store &rows, const lender_view &view,
                             const quota_bound &bound)
    : m_executor(std::move(executor)), m_store(rows), m_view(view), m_bound(bound)
{ }

void credit_lender::setRoutes(routing_config_ptr routes)
{
    m_routes = std::move(routes);
    m_hasQuotas.fill(false);
    for (const auto &[name, rule] : m_routes->accounts().rules()) {
        if (rule.quota)
            m_hasQuotas.at(shardOf(name)) = true;
    }
}

bool credit_lender::hasQuotas(std::size_t shard) const
{
    return m_hasQuotas.at(shard);
}

credit_lender::shard_state &credit_lender::stateOf(std::size_t shard)
{
    const auto found = m_shards.find(shard);
    if (found != m_shards.end())
        return found->second;
    const member_state &self = m_view.self();
    return m_shards
        .emplace(shard, shard_state(quota_shard_state(self.name, self.incarnation, m_bound)))
        .first->second;
}

std::optional<quota_message> credit_lender::answer(const credit_request &request)
{
    const std::uint64_t number = request.id.number;
    const account_config *const rule
        = m_routes ? m_routes->accounts().find(request.account) : nullptr;
    // The borrower may have a newer configuration than this daemon.
    if (!rule || m_isReleased)
        return std::nullopt;
    if (!rule->quota)
        return credit_lent{number};
    const std::size_t shard = shardOf(request.account);
    shard_state &state = stateOf(shard);
    const time_point now = runtime_clock::now();
    if (!state.book.mayLend(now)) {
        const daemon_id preferred = m_view.preferred(shard);
        if (preferred == m_view.self().name)
            acquireOrRenew(shard);
        const daemon_id holder = holderOf(state);
        if (!holder.empty() && holder != m_view.self().name)
            return not_holder{number, holder};
        if (preferred != m_view.self().name)
            return not_holder{number, preferred};
        return std::nullopt;
    }
    const int quotaLimit = maxCreditsPerWindow(*rule->quota, m_bound);
    const lend_result result
        = state.book.lend(request.account, request.id, request.use, quotaLimit, now);
    switch (result.verdict) {
    case lend_verdict::Lent:
        return credit_lent{number};
    case lend_verdict::OverQuota:
        return credit_denied{number, result.retryAfter};
    case lend_verdict::ReservationTooSmall:
        break;
    }
    acquireOrRenew(shard);
    return std::nullopt;
}

void credit_lender::onReturn(const credit_return &message)
{
    const auto found = m_shards.find(shardOf(message.account));
    if (found != m_shards.end())
        found->second.book.restoreCredit(message.account, message.id);
}

awaitable<void> credit_lender::maintain()
{
    while (true) {
        co_await sleepFor(maintenanceInterval);
        const time_point now = runtime_clock::now();
        const bool isReady = m_routes && !m_view.self().name.empty() && !m_isReleased;
        for (std::size_t shard = 0; isReady && shard < quotaShardCount; ++shard) {
            if (hasQuotas(shard))
                maintainShard(shard, now);
        }
    }
}

void credit_lender::maintainShard(std::size_t shard, time_point now)
{
    shard_state &state = stateOf(shard);
    const bool isPreferred = m_view.preferred(shard) == m_view.self().name;
    if (!state.book.isHeld()) {
        if (isPreferred)
            acquireOrRenew(shard);
        return;
    }
    if (isPreferred)
        state.notPreferredSince.reset();
    else if (!state.notPreferredSince)
        state.notPreferredSince = now;
    if (state.notPreferredSince && now >= *state.notPreferredSince + handOverDelay
        && !state.isWriting) {
        state.isWriting = true;
        spawn(m_executor, "handOnQuotaRow", handOver(shard, now + rowWriteTimeout));
    } else if (now >= state.writtenAt + renewInterval) {
        acquireOrRenew(shard);
    }
}

daemon_id credit_lender::holderOf(const shard_state &state) const
{
    const bool isHeld
        = state.foreignRow && m_view.stateOf(*state.foreignRow) == holder_state::Lives;
    return isHeld ? state.foreignRow->holder : daemon_id();
}

void credit_lender::acquireOrRenew(std::size_t shard)
{
    shard_state &state = stateOf(shard);
    const time_point now = runtime_clock::now();
    const duration minInterval = holderOf(state).empty() ? retryInterval : foreignRowRetryInterval;
    const bool isKnown = m_routes && !m_view.self().name.empty();
    if (!isKnown || state.isWriting || now < state.lastAttemptAt + minInterval || m_isReleased)
        return;
    state.isWriting = true;
    state.lastAttemptAt = now;
    spawn(m_executor, "writeQuotaRow", write(shard));
}

awaitable<void> credit_lender::write(std::size_t shard)
{
    shard_state &state = stateOf(shard);
    const row_name name = quotaRowName(shard);
    bool again = true;
    for (int i = 0; again && i < maxAttempts && !m_isReleased; ++i) {
        const time_point sentAt = runtime_clock::now();
        const bool wasHeld = state.book.isHeld();
        const quota_row row = state.book.prepare(m_routes->accounts(), sentAt);
        store_transaction t;
        // All requests of the accounts of the shard wait for this write.
        t.urgency = write_urgency::End;
        t.conditions.push_back({name, state.version});
        t.writes.push_back({name, encodeQuotaRow(row)});
        const auto version = co_await m_store.transact(std::move(t), sentAt + rowWriteTimeout);
        if (!version) {
            again = onWriteFailed(shard, state, version.error());
            continue;
        }
        state.version = *version;
        state.foreignRow.reset();
        state.writtenAt = sentAt;
        state.book.onRowWritten(row, sentAt);
        again = false;
        if (!wasHeld)
            logDecision(log_event::QuotaShardAcquired,
                        {{"shard", std::int64_t(shard)}, {"row_version", std::int64_t(*version)}});
    }
    state.isWriting = false;
}

bool credit_lender::onWriteFailed(std::size_t shard, shard_state &state, const store_error &error)
{
    if (error.kind != store_error_kind::Conflict)
        return false;
    const stored_row *const found = findRow(error.current, quotaRowName(shard));
    if (found)
        return onConflictingRow(shard, state, *found);
    state.version = 0;
    state.book.takeOver(std::nullopt, holder_state::NoLongerLending, runtime_clock::now());
    return true;
}

bool credit_lender::onConflictingRow(std::size_t shard, shard_state &state, const stored_row &found)
{
    const auto row = decodeQuotaRow(found.value);
    if (!row) {
        m_unreadable.logOnce(log_event::RowUnreadable, found, "malformed quota row");
        return false;
    }
    const member_state &self = m_view.self();
    const time_point now = runtime_clock::now();
    if (row->holder == self.name && row->incarnation == state.book.incarnation()
        && !row->isReleased) {
        // The row is from an earlier write by this daemon whose response was lost.
        state.version = found.version;
        return true;
    }
    const holder_state holderState = m_view.stateOf(*row);
    const bool isAbandoned = holderState == holder_state::NoLongerLending
        || (holderState == holder_state::Silent && m_view.isSettled(now));
    if (!isAbandoned) {
        if (state.book.isHeld())
            logDecision(log_event::QuotaShardLost,
                        {{"shard", std::int64_t(shard)}, {"holder", row->holder.value}});
        state.book.onRowLost();
        // Not the row's version, so that the next attempt conflicts and examines the row again.
        state.version = 0;
        state.foreignRow = *row;
        return false;
    }
    logDecision(log_event::QuotaShardTakenOver,
                {{"shard", std::int64_t(shard)},
                 {"holder", row->holder.value},
                 {"state", std::string(toName(holderState))},
                 {"row_version", std::int64_t(found.version)}});
    state.book.takeOver(*row, holderState, now);
    state.version = found.version;
    return true;
}

awaitable<void> credit_lender::handOver(std::size_t shard, time_point until)
{
    shard_state &state = stateOf(shard);
    const row_name name = quotaRowName(shard);
    const quota_row row = state.book.release(runtime_clock::now());
    store_transaction t;
    t.urgency = write_urgency::Begin;
    t.conditions.push_back({name, state.version});
    t.writes.push_back({name, encodeQuotaRow(row)});
    // If the write fails, the next holder has to assume that this daemon may still lend.
    const auto version = co_await m_store.transact(std::move(t), until);
    if (version)
        state.version = *version;
    state.notPreferredSince.reset();
    state.isWriting = false;
    logDecision(log_event::QuotaShardLost,
                {{"shard", std::int64_t(shard)},
                 {"holder", m_view.preferred(shard).value},
                 {"released", version.has_value()}});
}

awaitable<void> credit_lender::release(time_point latest)
{
    m_isReleased = true;
    for (auto &[shard, state] : m_shards) {
        if (state.book.isHeld())
            co_await handOver(shard, std::min(runtime_clock::now() + rowWriteTimeout, latest));
    }
}

} // namespace azurehill
