#include "store/paced_store.h"

#include "runtime/spawn.h"

#include <boost/asio/redirect_error.hpp>

#include <algorithm>

namespace azurehill {

namespace {

/// Delay before retrying a read that the store refused with Limited. The store's rate limit for
/// reads is three times that for writes, so this is rare.
constexpr duration readRetryDelay = milliseconds(30);

store_error queueTimeoutError()
{
    return {store_error_kind::Refused, "write timed out in the queue before it was sent", {}};
}

store_error unknownOutcomeError()
{
    return {store_error_kind::Unknown, "no answer in time", {}};
}

/// \returns the rows of \p current that the conditions of \p t name.
std::vector<stored_row> rowsOf(const store_transaction &t, const std::vector<stored_row> &current)
{
    std::vector<stored_row> rows;
    for (const row_condition &c : t.conditions) {
        for (const stored_row &row : current) {
            if (row.name == c.name)
                rows.push_back(row);
        }
    }
    return rows;
}

/// \returns whether the conditions of \p t hold for \p rows. A row that does not exist has
/// version 0.
bool conditionsHold(const store_transaction &t, const std::vector<stored_row> &rows)
{
    return std::all_of(t.conditions.begin(), t.conditions.end(), [&](const row_condition &c) {
        store_version version = 0;
        for (const stored_row &row : rows) {
            if (row.name == c.name && !row.deleted)
                version = row.version;
        }
        return version == c.version;
    });
}

} // namespace

paced_store::paced_store(asio::any_io_executor executor, store &inner,
                         const mechanism_set &mechanisms)
    : m_executor(std::move(executor)), m_inner(inner), m_mechanisms(mechanisms)
{ }

void paced_store::setRates(double writesPerSecond, int daemons)
{
    m_queue.setRates(writesPerSecond, daemons);
}

awaitable<store_result<store_version>> paced_store::transact(store_transaction t,
                                                             time_point deadline)
{
    if (!m_mechanisms.has(mechanism::PacedWrites))
        co_return co_await m_inner.transact(std::move(t), deadline);
    const std::uint64_t number = ++m_lastNumber;
    store_transaction copy = t;
    const auto pending = std::make_shared<pending_write>(m_executor, std::move(t), deadline);
    m_pending.emplace(number, pending);
    m_queue.add(number, std::move(copy), deadline);
    dispatchWaiting();
    while (!pending->result) {
        pending->deadlineTimer.expires_at(deadline);
        boost::system::error_code code;
        co_await pending->deadlineTimer.async_wait(asio::redirect_error(use_awaitable, code));
        if (pending->result || runtime_clock::now() < deadline)
            continue;
        // If the write was already sent, its call goes on, since other writes may share it, and
        // the write may still take effect.
        const bool isCertain = m_queue.withdraw(number);
        pending->result = tl::unexpected(isCertain ? queueTimeoutError() : unknownOutcomeError());
    }
    m_pending.erase(number);
    co_return std::move(*pending->result);
}

void paced_store::dispatchWaiting()
{
    while (auto batch = m_queue.take(runtime_clock::now())) {
        spawn(m_executor, "sendWrites", send(std::move(*batch)));
    }
    if (m_queue.waiting() > 0 && !m_isDispatchScheduled) {
        m_isDispatchScheduled = true;
        spawn(m_executor, "pumpLater", dispatchWaitingLater());
    }
}

awaitable<void> paced_store::dispatchWaitingLater()
{
    const auto next = m_queue.nextBatchAt();
    if (next)
        co_await sleepFor(std::max<duration>(milliseconds(1), *next - runtime_clock::now()));
    m_isDispatchScheduled = false;
    dispatchWaiting();
}

awaitable<void> paced_store::send(write_batch batch)
{
    store_transaction t = std::move(batch.transaction);
    const auto result = co_await m_inner.transact(std::move(t), batch.deadline);
    const time_point now = runtime_clock::now();
    if (result)
        m_queue.onDone(now);
    else if (result.error().kind == store_error_kind::Limited)
        m_queue.onLimited(now);
    completeBatch(batch, result);
    dispatchWaiting();
}

void paced_store::completeBatch(const write_batch &batch, const store_result<store_version> &result)
{
    const bool isLimited = !result && result.error().kind == store_error_kind::Limited;
    const bool isConflict = !result && result.error().kind == store_error_kind::Conflict;
    for (const std::uint64_t number : batch.members) {
        if (!m_pending.contains(number))
            continue; // timed out in the meantime
        if (isLimited) {
            requeue(number);
            continue;
        }
        if (!isConflict || batch.members.size() == 1) {
            complete(number, result);
            continue;
        }
        // One failed condition fails the whole transaction: writes whose own conditions hold are
        // retried.
        const store_transaction &own = m_pending.at(number)->transaction;
        const std::vector<stored_row> rows = rowsOf(own, result.error().current);
        if (conditionsHold(own, rows))
            requeue(number);
        else
            complete(number,
                     tl::unexpected(store_error{store_error_kind::Conflict, "conflict", rows}));
    }
}

void paced_store::requeue(std::uint64_t number)
{
    const pending_ptr pending = m_pending.at(number);
    if (runtime_clock::now() >= pending->deadline) {
        complete(number, tl::unexpected(queueTimeoutError()));
        return;
    }
    m_queue.add(number, pending->transaction, pending->deadline);
}

void paced_store::complete(std::uint64_t number, store_result<store_version> result)
{
    const pending_ptr pending = m_pending.at(number);
    pending->result = std::move(result);
    pending->deadlineTimer.cancel();
}

awaitable<store_result<row_page>> paced_store::read(row_range range, time_point deadline)
{
    while (true) {
        row_range copy = range;
        auto page = co_await m_inner.read(std::move(copy), deadline);
        const bool isLimited = !page && page.error().kind == store_error_kind::Limited;
        if (!isLimited || runtime_clock::now() + readRetryDelay >= deadline)
            co_return page;
        co_await sleepFor(readRetryDelay);
    }
}

awaitable<store_result<partition_page>>
paced_store::partitions(std::string table, std::string after, time_point deadline)
{
    return m_inner.partitions(std::move(table), std::move(after), deadline);
}

awaitable<store_result<row_page>> paced_store::changes(std::string table, store_version after,
                                                       duration wait, time_point deadline)
{
    co_return co_await m_inner.changes(std::move(table), after, wait, deadline);
}

} // namespace azurehill
