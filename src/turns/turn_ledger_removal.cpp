#include "core/log_event.h"
#include "turns/store_calls.h"
#include "turns/turn_ledger.h"
#include "turns/turn_rows.h"

namespace azurehill {

namespace {

/// Programs whose rows are removed at a time, so that removals stay a small share of the calls.
constexpr std::size_t maxProgramsPerRemoval = 8;
/// Entries that one transaction may have.
constexpr std::size_t maxTransactionEntries = 100;

} // namespace

awaitable<void> turn_ledger::removeExpiredRows()
{
    for (const row_retention_tracker::expired_program &due :
         m_rowRetention.takeExpired(runtime_clock::now(), maxProgramsPerRemoval)) {
        row_range range = turn_rows::programRange(due.program);
        const auto page = co_await m_store.read(std::move(range), runtime_clock::now() + callTime);
        if (!page)
            continue;
        const row_name accountRow = turn_rows::account(due.program);
        store_transaction t;
        // Another daemon may have added a turn since: the program then is that daemon's to remove.
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
        // A program of more rows than fit is left; its rows cost room, not correctness.
        if (t.removals.size() >= maxTransactionEntries)
            continue;
        const std::int64_t count = std::int64_t(t.removals.size());
        const auto done = co_await m_store.transact(std::move(t), runtime_clock::now() + callTime);
        if (done)
            logDecision(log_event::RowsDropped, {{"program", due.program.value}, {"rows", count}});
    }
}

} // namespace azurehill
