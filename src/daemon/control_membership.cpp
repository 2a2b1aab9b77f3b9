#include "core/log.h"
#include "daemon/control.h"

namespace azurehill {

namespace {

constexpr duration membershipPeriod = milliseconds(250);
constexpr int scanPage = 1000;

} // namespace

awaitable<void> control::membershipLoop()
{
    while (true) {
        co_await refreshView();
        co_await refreshLeases();
        for (membership_action &action : m_membership.poll(runtime_clock::now()))
            co_await perform(std::move(action));
        if (m_loadedView != m_membership.view().number && co_await loadGained())
            co_await settleOrphans();
        co_await sleepFor(membershipPeriod);
    }
}

awaitable<void> control::refreshView()
{
    auto rows = co_await m_platform.read(std::vector<std::string>(1, viewKey()));
    if (!rows)
        co_return;
    if (rows->empty()) {
        m_membership.onView({}, runtime_clock::now());
        adoptView();
        co_return;
    }
    const auto view = decodeView(rows->front());
    if (!view) {
        logEvent(log_level::Error, "view_unreadable", {{"detail", view.error()}});
        co_return;
    }
    m_membership.onView(*view, runtime_clock::now());
    adoptView();
}

awaitable<void> control::refreshLeases()
{
    auto rows = co_await m_platform.scan(leasePrefix(), "", scanPage);
    if (!rows)
        co_return;
    std::vector<lease_record> leases;
    for (const table_row &row : *rows) {
        if (const auto lease = decodeLease(row.value))
            leases.push_back(*lease);
    }
    m_membership.onLeases(leases, runtime_clock::now());
}

awaitable<void> control::perform(membership_action action)
{
    transaction t;
    if (const auto *renew = std::get_if<renew_lease>(&action)) {
        const time_point sentAt = runtime_clock::now();
        t.puts.push_back({leasePrefix() + m_settings.name, encode(renew->lease)});
        if (co_await m_platform.transact(std::move(t)))
            m_membership.onRenewed(sentAt);
        co_return;
    }
    const auto &change = std::get<change_view>(action);
    t.checks.push_back({viewKey(), change.expected});
    t.puts.push_back({viewKey(), encode(change.next)});
    // Whatever the answer, the next read of the view tells what is in force.
    const auto written = co_await m_platform.transact(std::move(t));
    logEvent(log_level::Info, "view_change",
             {{"number", static_cast<std::int64_t>(change.next.number)},
              {"members", static_cast<std::int64_t>(change.next.members.size())},
              {"written", written.has_value()}});
    co_await refreshView();
}

awaitable<bool> control::loadGained()
{
    const cell_view view = m_membership.view();
    const std::uint64_t drops = m_drops;
    batch_reader reader;
    std::string after;
    while (true) {
        auto rows = co_await m_platform.scan(rowPrefix(m_settings.cell), after, scanPage);
        if (!rows)
            co_return false;
        for (const table_row &row : *rows)
            reader.feed(row);
        if (rows->size() < scanPage)
            break;
        after = rows->back().key;
    }
    const auto batches = reader.finish();
    if (!batches) {
        logEvent(log_level::Error, "journal_unreadable", {{"detail", batches.error()}});
        co_return false;
    }
    // What was read may be older than a view or a drop that came meanwhile: read it again.
    if (m_membership.view().number != view.number || m_drops != drops)
        co_return false;
    std::set<program_id> known;
    for (const program_id &id : programIds()) {
        if (owns(id))
            known.insert(id);
        else
            m_book.forget(id);
    }
    for (const journal_batch &batch : *batches) {
        for (const journal_record &record : batch.records) {
            const program_id &id = programOf(record);
            if (owns(id) && !known.count(id))
                m_book.apply(record);
        }
    }
    m_loadedView = view.number;
    m_membership.onLoaded(view.number);
    logEvent(log_level::Info, "view_loaded",
             {{"number", static_cast<std::int64_t>(view.number)},
              {"programs", static_cast<std::int64_t>(m_book.programs().size())}});
    co_return true;
}

awaitable<void> control::settleOrphans()
{
    // Calls that a former owner had begun. It may have sent them just before it died, so they are
    // never sent again from here and are charged in full.
    std::vector<journal_record> records;
    for (const auto &[id, p] : m_book.programs()) {
        if (!p.open || m_streams.count(id))
            continue;
        records.emplace_back(
            call_failed{id, p.open->turn, p.open->key, outcome::Unknown, p.open->reservedTokens});
    }
    // One ticket each: a view that takes one program away leaves the other records in place. A
    // record that is lost needs nothing: its program is another daemon's then.
    for (const journal_record &record : records) {
        m_book.apply(record);
        std::vector<journal_record> one(1, record);
        m_batcher.append(std::move(one), commit_need::Kept, runtime_clock::now());
    }
    m_commitTimer.cancel();
    co_return;
}

} // namespace azurehill
