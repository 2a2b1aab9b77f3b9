#include "lending/credit_lender.h"

#include "core/log_event.h"
#include "runtime/runtime.h"
#include "turns/store_calls.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Rows that are held are written anew this often: an outage of the store then finds the most of
/// their validity left.
constexpr duration renewInterval = milliseconds(2500);
constexpr duration lookPause = milliseconds(250);
/// Pause between two tries of one row, and of one that another daemon holds as far as is known.
constexpr duration retryInterval = milliseconds(40);
constexpr duration foreignRowRetryInterval = milliseconds(500);
/// A row is handed on to the daemon that should hold it after this long: members that come and go
/// would otherwise move it about.
constexpr duration handOverDelay = seconds(2);
constexpr duration writeTime = milliseconds(700);
/// Answers that show another state of the row than expected, after which a write is left.
constexpr int mostTries = 4;

} // namespace

credit_lender::credit_lender(asio::any_io_executor executor, store &rows, const lender_view &view,
                             const quota_bound &bound)
    : m_executor(std::move(executor)), m_store(rows), m_view(view), m_bound(bound)
{ }

void credit_lender::setRoutes(routing_config_ptr routes)
{
    m_routes = std::move(routes);
    m_used.fill(false);
    for (const auto &[name, rule] : m_routes->accounts().rules()) {
        if (rule.quota)
            m_used.at(shardOf(name)) = true;
    }
}

bool credit_lender::hasQuotas(std::size_t shard) const
{
    return m_used.at(shard);
}

credit_lender::shard_state &credit_lender::stateOf(std::size_t shard)
{
    const auto found = m_shards.find(shard);
    if (found != m_shards.end())
        return found->second;
    const member_state &self = m_view.self();
    return m_shards.emplace(shard, shard_state(quota_book(self.name, self.incarnation, m_bound)))
        .first->second;
}

std::optional<quota_message> credit_lender::answer(const credit_request &request)
{
    const std::uint64_t number = request.id.number;
    const account_rule *const rule
        = m_routes ? m_routes->accounts().find(request.account) : nullptr;
    // The asker may know a newer configuration than this daemon.
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
    const int most = mostCredits(*rule->quota, m_bound);
    const lend_result result = state.book.lend(request.account, request.id, request.use, most, now);
    switch (result.verdict) {
    case lend_verdict::Lent:
        return credit_lent{number};
    case lend_verdict::OverQuota:
        return credit_denied{number, result.retryAfter};
    case lend_verdict::LevelTooLow:
        break;
    }
    acquireOrRenew(shard);
    return std::nullopt;
}

void credit_lender::onReturn(const credit_return &message)
{
    const auto found = m_shards.find(shardOf(message.account));
    if (found != m_shards.end())
        found->second.book.giveBack(message.account, message.id);
}

awaitable<void> credit_lender::maintain()
{
    while (true) {
        co_await sleepFor(lookPause);
        const time_point now = runtime_clock::now();
        const bool isReady = m_routes && !m_view.self().name.empty() && !m_isReleased;
        for (std::size_t shard = 0; isReady && shard < quotaShards; ++shard) {
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
        spawn(m_executor, "handOnQuotaRow", handOver(shard, now + writeTime));
    } else if (now >= state.writtenAt + renewInterval) {
        acquireOrRenew(shard);
    }
}

daemon_id credit_lender::holderOf(const shard_state &state) const
{
    const bool isHeld = state.others && m_view.stateOf(*state.others) == holder_state::Lives;
    return isHeld ? state.others->holder : daemon_id();
}

void credit_lender::acquireOrRenew(std::size_t shard)
{
    shard_state &state = stateOf(shard);
    const time_point now = runtime_clock::now();
    const duration pause = holderOf(state).empty() ? retryInterval : foreignRowRetryInterval;
    const bool isKnown = m_routes && !m_view.self().name.empty();
    if (!isKnown || state.isWriting || now < state.lastAttemptAt + pause || m_isReleased)
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
    for (int i = 0; again && i < mostTries && !m_isReleased; ++i) {
        const time_point sentAt = runtime_clock::now();
        const bool wasHeld = state.book.isHeld();
        const quota_row row = state.book.prepare(m_routes->accounts(), sentAt);
        store_transaction t;
        // All requests of the row's accounts wait for it.
        t.urgency = write_urgency::End;
        t.conditions.push_back({name, state.version});
        t.writes.push_back({name, encodeQuotaRow(row)});
        const auto version = co_await m_store.transact(std::move(t), sentAt + writeTime);
        if (!version) {
            again = onFailed(shard, state, version.error());
            continue;
        }
        state.version = *version;
        state.others.reset();
        state.writtenAt = sentAt;
        state.book.onWritten(row, sentAt);
        again = false;
        if (!wasHeld)
            logDecision(log_event::QuotaHeld,
                        {{"shard", std::int64_t(shard)}, {"row_version", std::int64_t(*version)}});
    }
    state.isWriting = false;
}

bool credit_lender::onFailed(std::size_t shard, shard_state &state, const store_error &error)
{
    if (error.kind != store_error_kind::Conflict)
        return false;
    const stored_row *const found = findRow(error.current, quotaRowName(shard));
    if (found)
        return onConflictingRow(shard, state, *found);
    state.version = 0;
    state.book.takeOver(std::nullopt, holder_state::Ended, runtime_clock::now());
    return true;
}

bool credit_lender::onConflictingRow(std::size_t shard, shard_state &state, const stored_row &found)
{
    const auto row = decodeQuotaRow(found.value);
    if (!row) {
        m_unreadable.tell(log_event::RowUnreadable, found, "not a row of quotas");
        return false;
    }
    const member_state &self = m_view.self();
    const time_point now = runtime_clock::now();
    if (row->holder == self.name && row->incarnation == state.book.incarnation()
        && !row->isReleased) {
        // An earlier write whose answer was lost.
        state.version = found.version;
        return true;
    }
    const holder_state fate = m_view.stateOf(*row);
    const bool isAbandoned
        = fate == holder_state::Ended || (fate == holder_state::Silent && m_view.isSettled(now));
    if (!isAbandoned) {
        if (state.book.isHeld())
            logDecision(log_event::QuotaLost,
                        {{"shard", std::int64_t(shard)}, {"holder", row->holder.value}});
        state.book.onLost();
        // Not the row's version: the next try has to find it changed, and judge it again.
        state.version = 0;
        state.others = *row;
        return false;
    }
    logDecision(log_event::QuotaTaken,
                {{"shard", std::int64_t(shard)},
                 {"holder", row->holder.value},
                 {"state", std::string(toName(fate))},
                 {"row_version", std::int64_t(found.version)}});
    state.book.takeOver(*row, fate, now);
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
    // If it fails, the next holder takes this daemon for one that may still lend.
    const auto version = co_await m_store.transact(std::move(t), until);
    if (version)
        state.version = *version;
    state.notPreferredSince.reset();
    state.isWriting = false;
    logDecision(log_event::QuotaLost,
                {{"shard", std::int64_t(shard)},
                 {"holder", m_view.preferred(shard).value},
                 {"released", version.has_value()}});
}

awaitable<void> credit_lender::release(time_point latest)
{
    m_isReleased = true;
    for (auto &[shard, state] : m_shards) {
        if (state.book.isHeld())
            co_await handOver(shard, std::min(runtime_clock::now() + writeTime, latest));
    }
}

} // namespace azurehill
