#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_ledger.h"
#include "turns/turn_rows.h"

namespace azurehill {

namespace {

/// Programs removed per call of removeExpiredRows(), so that removals stay a small share of the
/// store's calls.
constexpr std::size_t maxProgramsPerRemoval = 8;
/// Limit on the writes, removals and conditions of one transaction.
constexpr std::size_t maxTransactionEntries = 100;

} // namespace

awaitable<void> turn_ledger::removeExpiredRows()
{
    for (const row_retention_tracker::expired_program &due :
         m_rowRetention.takeExpired(runtime_clock::now(), maxProgramsPerRemoval)) {
        row_range range = turn_rows::programRange(due.program);
        const auto page
            = co_await m_store.read(std::move(range), runtime_clock::now() + storeAttemptTimeout);
        if (!page)
            continue;
        const row_name accountRow = turn_rows::account(due.program);
        store_transaction t;
        // If another daemon has added a turn since, that daemon removes the program.
        store_version accountVersion = 0;
        for (const stored_row &row : page->rows) {
            t.removals.push_back(row.name);
            if (row.name == accountRow)
                accountVersion = row.version;
        }
        if (versionOf(page->rows) > due.version)
            continue;
        t.conditions.push_back({accountRow, accountVersion});
        if (m_settings.spansParts) {
            for (const turn_id &id : due.turns)
                t.removals.push_back(turn_rows::index(id));
        }
        // Programs with more rows than one transaction can remove are left; they only cost space.
        if (t.removals.size() >= maxTransactionEntries)
            continue;
        const std::int64_t count = std::int64_t(t.removals.size());
        const auto done
            = co_await m_store.transact(std::move(t), runtime_clock::now() + storeAttemptTimeout);
        if (done)
            logDecision(log_event::RowsDropped, {{"program", due.program.value}, {"rows", count}});
    }
}

} // namespace azurehill
