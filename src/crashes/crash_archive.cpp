#include "crashes/crash_archive.h"

#include "core/log_event.h"
#include "quarantine/crash_rows.h"
#include "runtime/spawn.h"

#include <boost/asio/redirect_error.hpp>

#include <utility>

namespace azurehill {

namespace {

constexpr std::size_t maxRowsPerWrite = 64;
constexpr duration storeCallTimeout = milliseconds(1000);
constexpr duration retryInterval = milliseconds(200);

} // namespace

crash_archive::crash_archive(asio::any_io_executor executor, store &store)
    : m_executor(std::move(executor)), m_store(store)
{ }

void crash_archive::put(const crash_report &report)
{
    for (const crash_evidence &evidence : report.evidence) {
        row_value row = crash_rows::encode(report, evidence);
        change(std::move(row.name), std::move(row.value));
    }
}

void crash_archive::remove(const crash_report &report)
{
    for (const crash_evidence &evidence : report.evidence)
        change(crash_rows::nameOf(report.request, evidence.send), std::nullopt);
}

awaitable<void> crash_archive::removeAll(request_fingerprint request)
{
    auto page = co_await read(crash_rows::ofRequest(request), storeCallTimeout);
    while (!page) {
        co_await sleepFor(retryInterval);
        page = co_await read(crash_rows::ofRequest(request), storeCallTimeout);
    }
    for (const crash_report &report : page->reports)
        remove(report);
}

void crash_archive::change(row_name name, std::optional<std::string> value)
{
    if (m_waiting.size() >= maxWaiting && !m_waiting.contains(name))
        return;
    m_waiting.insert_or_assign(std::move(name), std::move(value));
    if (!std::exchange(m_isWriting, true))
        spawn(m_executor, "writeCrashRows", writeAll());
}

awaitable<void> crash_archive::writeAll()
{
    while (!m_waiting.empty()) {
        const bool isDone = co_await writeSome();
        if (!isDone)
            co_await sleepFor(retryInterval);
    }
    m_isWriting = false;
}

awaitable<bool> crash_archive::writeSome()
{
    store_transaction t;
    t.urgency = write_urgency::Begin;
    while (!m_waiting.empty() && m_inProgress.size() < maxRowsPerWrite)
        m_inProgress.insert(m_waiting.extract(m_waiting.begin()));
    for (const auto &[name, value] : m_inProgress) {
        if (value)
            t.writes.push_back({name, *value});
        else
            t.removals.push_back(name);
    }
    const auto done
        = co_await m_store.transact(std::move(t), runtime_clock::now() + storeCallTimeout);
    row_changes written = std::exchange(m_inProgress, {});
    if (!done) {
        logDecision(log_event::EvidenceWriteFailed,
                    {{"rows", std::int64_t(written.size())},
                     {"waiting", std::int64_t(m_waiting.size())},
                     {"detail", done.error().detail}});
        // What has changed meanwhile is newer.
        m_waiting.merge(written);
    }
    for (const auto &waiter : m_waiters)
        waiter->cancel();
    co_return done.has_value();
}

bool crash_archive::contains(const row_changes &changes, const row_range &range)
{
    const auto first = changes.lower_bound({range.table, range.partition, range.from});
    return first != changes.end() && first->first.key < range.to;
}

bool crash_archive::isStored(const request_fingerprint &request) const
{
    const row_range range = crash_rows::ofRequest(request);
    return !contains(m_waiting, range) && !contains(m_inProgress, range);
}

awaitable<void> crash_archive::waitUntilStored(request_fingerprint request)
{
    const time_point until = runtime_clock::now() + storeTimeout;
    const auto wait = std::make_shared<timer>(m_executor);
    m_waiters.insert(wait);
    while (!isStored(request) && m_store.isReachable() && runtime_clock::now() < until) {
        wait->expires_at(until);
        boost::system::error_code code;
        co_await wait->async_wait(asio::redirect_error(use_awaitable, code));
    }
    m_waiters.erase(wait);
}

evidence_page crash_archive::decode(const row_page &page)
{
    evidence_page result;
    result.version = page.version;
    for (const stored_row &row : page.rows) {
        if (row.deleted)
            continue;
        if (auto report = crash_rows::decode(row))
            result.reports.push_back(std::move(*report));
        else
            m_unreadable.logOnce(log_event::RowUnreadable, row, "the row holds no lost send");
    }
    return result;
}

awaitable<std::optional<evidence_page>> crash_archive::read(row_range range, duration timeout)
{
    const auto page = co_await m_store.read(std::move(range), runtime_clock::now() + timeout);
    if (!page)
        co_return std::nullopt;
    co_return decode(*page);
}

awaitable<std::optional<evidence_page>> crash_archive::follow(store_version after)
{
    std::string table = crash_rows::all().table;
    const time_point deadline = runtime_clock::now() + followTimeout + storeCallTimeout;
    const auto page = co_await m_store.changes(std::move(table), after, followTimeout, deadline);
    if (!page)
        co_return std::nullopt;
    co_return decode(*page);
}

} // namespace azurehill
