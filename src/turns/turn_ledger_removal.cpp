#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_ledger.h"
#include "turns/turn_rows.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Programs removed per call of removeExpiredRows(), so that removals stay a small share of the
/// store's calls.
constexpr std::size_t maxProgramsPerRemoval = 8;
/// Rows removed per transaction, which may have 100 entries: each row takes a condition, its
/// removal, and that of its turn's index row.
constexpr std::size_t rowsPerRemoval = 32;
/// Delay before a failed removal is retried.
constexpr duration removalRetryDelay = seconds(10);

} // namespace

awaitable<void> turn_ledger::removeExpiredRows()
{
    co_await renewAccounts();
    const std::vector<row_retention_tracker::tracked_program> due
        = m_rowRetention.takeDue(runtime_clock::now(), maxProgramsPerRemoval);
    for (const row_retention_tracker::tracked_program &program : due)
        co_await removeIfExpired(program);
}

awaitable<void> turn_ledger::findAbandonedRows(int daemons)
{
    if (!m_abandonedScan.isDue(runtime_clock::now()))
        co_return;
    // A program in use is listed twice as well; one that has ended is gone by then.
    const duration interval = 2 * (m_retention.longest() + removalMargin);
    std::string table = turn_rows::programRange({}).table;
    std::string position = m_abandonedScan.position();
    const auto page = co_await m_store.partitions(std::move(table), std::move(position),
                                                  runtime_clock::now() + storeAttemptTimeout);
    const time_point now = runtime_clock::now();
    if (!page) {
        m_abandonedScan.postpone(now, interval);
        co_return;
    }
    for (const program_id &program : m_abandonedScan.onListed(*page, now, interval, daemons))
        m_rowRetention.onFound(program, now);
}

awaitable<void> turn_ledger::removeIfExpired(row_retention_tracker::tracked_program tracked)
{
    row_range range = turn_rows::programRange(tracked.program);
    const auto page
        = co_await m_store.read(std::move(range), runtime_clock::now() + storeAttemptTimeout);
    const time_point now = runtime_clock::now();
    if (!page) {
        m_rowRetention.reschedule(tracked, now + removalRetryDelay);
        co_return;
    }
    if (page->rows.empty())
        co_return;
    const store_version newest = versionOf(page->rows);
    if (!tracked.version) {
        tracked.version = newest;
        tracked.knownSince = now;
    }
    // Another daemon has written since, and tracks the program.
    if (newest > *tracked.version)
        co_return;
    const time_point expiresAt = tracked.knownSince + retentionOf(page->rows) + removalMargin;
    if (now < expiresAt) {
        m_rowRetention.reschedule(tracked, expiresAt);
        co_return;
    }
    const bool isRemoved = co_await removeRows(tracked.program, page->rows);
    if (!isRemoved)
        m_rowRetention.reschedule(tracked, runtime_clock::now() + removalRetryDelay);
}

duration turn_ledger::retentionOf(const std::vector<stored_row> &rows) const
{
    duration longest = duration::zero();
    for (const stored_row &row : rows) {
        if (!turn_rows::isAccountRow(row.name))
            continue;
        const auto account = decodeAccount(row.value);
        longest = std::max(longest, account ? m_retention.of(*account) : m_retention.longest());
    }
    const std::map<turn_id, decoded_turn> turns = turn_rows::readTurns(rows);
    for (const auto &[id, decoded] : turns)
        longest = std::max(longest, m_retention.of(decoded.value));
    if (turns.size() < turn_rows::countTurns(rows))
        longest = std::max(longest, m_retention.longest());
    return longest;
}

store_transaction turn_ledger::removalOf(std::span<const stored_row> rows,
                                         const std::set<turn_id> &ownTurns) const
{
    store_transaction t;
    for (const stored_row &row : rows) {
        t.removals.push_back(row.name);
        const turn_id turn = turn_rows::turnOfFirstChunk(row.name);
        if (m_settings.spansParts && ownTurns.contains(turn))
            t.removals.push_back(turn_rows::index(turn));
    }
    return t;
}

awaitable<bool> turn_ledger::removeRows(program_id program, std::vector<stored_row> rows)
{
    // The account is removed first, on condition of its version: a program that returns in the
    // meantime has changed it, or finds it absent and then writes its whole chain. Each further row
    // is removed on condition of its own version, since such a chain replaces it.
    const row_name accountRow = turn_rows::account(program);
    const auto account = std::find_if(
        rows.begin(), rows.end(), [&](const stored_row &row) { return row.name == accountRow; });
    const store_version accountVersion = account == rows.end() ? 0 : account->version;
    if (account != rows.end())
        std::iter_swap(rows.begin(), account);
    // A turn that was copied from another program is found in that one's partition.
    std::set<turn_id> ownTurns;
    for (const auto &[id, decoded] : turn_rows::readTurns(rows)) {
        if (decoded.value.program == program)
            ownTurns.insert(id);
    }
    const std::span<const stored_row> all(rows);
    for (std::size_t start = 0; start < all.size(); start += rowsPerRemoval) {
        const auto some = all.subspan(start, std::min(rowsPerRemoval, all.size() - start));
        store_transaction t = removalOf(some, ownTurns);
        if (start == 0) {
            t.conditions.push_back({accountRow, accountVersion});
        } else {
            for (const stored_row &row : some)
                t.conditions.push_back({row.name, row.version});
        }
        const auto done
            = co_await m_store.transact(std::move(t), runtime_clock::now() + storeAttemptTimeout);
        if (!done)
            co_return false;
    }
    logDecision(log_event::RowsDropped,
                {{"program", program.value}, {"rows", std::int64_t(rows.size())}});
    co_return true;
}

} // namespace azurehill
