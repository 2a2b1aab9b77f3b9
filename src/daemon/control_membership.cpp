#include "core/log.h"
#include "daemon/control.h"

#include <csignal>

namespace azurehill {

namespace {

constexpr duration leasePeriod = milliseconds(100);
constexpr duration membershipPeriod = milliseconds(250);
constexpr int scanPage = 1000;

} // namespace

awaitable<void> control::leaseLoop()
{
    // Apart from the other reads and writes: a slow scan or a long loading must not cost the lease.
    while (true) {
        if (const auto renewal = m_membership.pollLease(runtime_clock::now())) {
            const time_point sentAt = runtime_clock::now();
            transaction t;
            t.puts.push_back({leasePrefix() + m_settings.name, encode(renewal->lease)});
            if (co_await m_platform.transact(std::move(t))) {
                // Failure: a daemon paused beyond its lease renews before it reads the view again,
                // and answers from programs that others have taken over. So a lease that had
                // lapsed counts only once the view was read.
                if (!m_membership.isActive(runtime_clock::now()))
                    co_await refreshView();
                m_membership.onRenewed(sentAt);
            }
        }
        co_await sleepFor(leasePeriod);
    }
}

awaitable<void> control::membershipLoop()
{
    while (true) {
        co_await refreshView();
        co_await refreshLeases();
        stopIfSuperseded();
        m_membership.setRunsRefusingConnections(m_heartbeats.refusing());
        m_membership.setRunning(runningFamilies());
        for (membership_action &action : m_membership.poll(runtime_clock::now()))
            co_await perform(std::move(action));
        const bool unread = m_loadedView != m_membership.view().number || !m_dropped.empty();
        if (unread && co_await loadGained())
            co_await settleOrphans();
        co_await sleepFor(membershipPeriod);
    }
}

void control::stopIfSuperseded()
{
    if (!m_membership.isSuperseded() || m_draining)
        return;
    logEvent(log_level::Error, "superseded", {{"detail", "another daemon has this name"}});
    std::raise(SIGTERM);
}

awaitable<void> control::refreshView()
{
    auto rows = co_await m_platform.read(std::vector<std::string>(1, viewKey()));
    if (!rows)
        co_return;
    if (rows->empty()) {
        adopt({});
        co_return;
    }
    const auto view = decodeView(rows->front());
    if (!view) {
        logEvent(log_level::Error, "view_unreadable", {{"detail", view.error()}});
        co_return;
    }
    adopt(*view);
}

void control::adopt(const cell_view &view)
{
    if (!m_membership.onView(view, runtime_clock::now()))
        return;
    m_history.onView(m_membership.view());
    adoptView();
    m_heartbeats.onView(m_membership.view());
}

awaitable<void> control::refreshLeases()
{
    const time_point sentAt = runtime_clock::now();
    std::vector<lease_record> leases;
    std::string after;
    while (true) {
        auto rows = co_await m_platform.scan(leasePrefix(), after, scanPage);
        if (!rows)
            co_return;
        for (const table_row &row : *rows) {
            auto lease = decodeLease(row.value);
            if (!lease)
                continue;
            lease->version = row.version;
            leases.push_back(std::move(*lease));
        }
        if (rows->size() < scanPage)
            break;
        after = rows->back().key;
    }
    m_membership.onLeases(leases, sentAt, runtime_clock::now());
}

transaction control::toTransaction(const change_view &change) const
{
    transaction t;
    t.checks.push_back({viewKey(), change.expected});
    for (const lease_check &check : change.checks)
        t.checks.push_back({leasePrefix() + check.daemon.value, check.version});
    t.puts.push_back({viewKey(), encode(change.next)});
    for (const daemon_id &daemon : change.leasesToDelete)
        t.deletes.push_back(leasePrefix() + daemon.value);
    return t;
}

transaction control::toTransaction(const delete_lease &drop) const
{
    transaction t;
    t.checks.push_back({leasePrefix() + drop.lease.daemon.value, drop.lease.version});
    t.deletes.push_back(leasePrefix() + drop.lease.daemon.value);
    return t;
}

awaitable<void> control::perform(membership_action action)
{
    transaction t = std::visit([this](const auto &a) { return toTransaction(a); }, action);
    // Whatever the answer, the next read of the view tells what is in force.
    const auto written = co_await m_platform.transact(std::move(t));
    const auto *change = std::get_if<change_view>(&action);
    if (!change)
        co_return;
    logEvent(log_level::Info, "view_change",
             {{"number", static_cast<std::int64_t>(change->next.number)},
              {"members", static_cast<std::int64_t>(change->next.members.size())},
              {"written", written.has_value()}});
    co_await refreshView();
}

awaitable<std::optional<std::vector<journal_batch>>> control::listBatches(std::string prefix)
{
    batch_reader reader;
    std::string after;
    while (true) {
        auto rows = co_await m_platform.scan(prefix, after, scanPage);
        if (!rows)
            co_return std::nullopt;
        for (const table_row &row : *rows)
            reader.feed(row);
        if (rows->size() < scanPage)
            break;
        after = rows->back().key;
    }
    auto batches = reader.finish();
    if (!batches) {
        logEvent(log_level::Error, "journal_unreadable", {{"detail", batches.error()}});
        co_return std::nullopt;
    }
    co_return std::move(*batches);
}

awaitable<bool> control::loadGained()
{
    const fencing_number number = m_membership.view().number;
    const std::uint64_t drops = m_drops;
    std::vector<journal_batch> batches;
    const bool reads = !m_dropped.empty() || m_history.mayHaveGainedSince(m_loadedView);
    if (reads) {
        auto listed = co_await listBatches(rowPrefix(m_settings.cell));
        // What was read before a drop may lack records that were written before it.
        if (!listed || m_drops != drops)
            co_return false;
        batches = std::move(*listed);
    }
    m_dropped.clear();
    std::set<program_id> known;
    for (const program_id &id : programIds()) {
        if (m_history.ownedSince(id, m_loadedView))
            known.insert(id);
        else
            m_book.erase(id);
    }
    for (const journal_batch &batch : batches) {
        for (const journal_record &record : batch.records) {
            const program_id &id = programOf(record);
            if (owns(id) && !known.count(id))
                m_book.apply(record);
        }
    }
    m_loadedView = number;
    m_membership.onProgramsLoaded(number);
    logEvent(log_level::Info, "view_loaded",
             {{"number", static_cast<std::int64_t>(number)},
              {"read_journals", reads},
              {"programs", static_cast<std::int64_t>(m_book.programs().size())}});
    co_return true;
}

awaitable<void> control::settleOrphans()
{
    // Calls that a former owner had begun. It may have sent them just before it died, so they are
    // never sent again from here and are charged in full.
    std::vector<journal_record> records;
    for (const auto &[id, p] : m_book.programs()) {
        if (!p.openCall || m_streams.count(id))
            continue;
        records.emplace_back(call_failed{id, p.openCall->turn, p.openCall->key, outcome::Unknown,
                                         p.openCall->reservedTokens});
    }
    // One ticket each: a view that takes one program away leaves the other records in place. A
    // record that is lost needs nothing: its program is another daemon's then.
    for (const journal_record &record : records) {
        m_book.apply(record);
        std::vector<journal_record> one(1, record);
        m_batcher.append(std::move(one), commit_policy::MustCommit, runtime_clock::now());
    }
    m_commitTimer.cancel();
    co_return;
}

} // namespace azurehill
