#include "entry/replica_discovery.h"

#include "core/log_event.h"
#include "platform/replica_codec.h"
#include "platform/store_rows.h"

#include <fmt/format.h>

#include <charconv>

namespace azurehill {

namespace {

constexpr duration storeCallTimeout = milliseconds(1000);
/// Timeout for fetching the changes from a nearby daemon, after which this daemon reads the store
/// itself.
constexpr duration changesTimeout = milliseconds(250);
/// Timeout for fetching the full table, which may be some megabytes on a slow line.
constexpr duration fullTableTimeout = seconds(3);
/// Minimum interval between full tables that a daemon serves.
constexpr duration fullTableServeInterval = milliseconds(250);
/// Fraction of the reads that read the full table, so that a copy that the store's incremental
/// changes corrupted is detected.
constexpr double fullReadShare = 1.0 / 32;
/// Status that tells a daemon to ask another one, or to retry later.
constexpr int statusBusy = 503;
/// Number of rows in an answer of the store from which on there may be more changes.
constexpr std::size_t fullPageRows = 100;
/// Number of polls without a copy after which each daemon reads, whatever the number of daemons.
constexpr int maxPollsWithoutCopy = 6;
constexpr std::string_view changesPath = "/inner/replicas";
constexpr std::string_view afterParameter = "after";
constexpr duration maxIdle = seconds(2);
constexpr std::size_t maxIdleConnections = 1;
/// Maximum number of log lines on single replicas per update; a start would otherwise write one for
/// each replica.
constexpr std::size_t maxReplicaLogLines = 8;

/// Time within which a request reaches its replica once it is sent.
constexpr duration maxTransmissionTime = milliseconds(250);

/// \returns the range of a row that doesn't exist: an empty answer costs the store least.
row_range absentRow()
{
    const std::string key = "touch";
    return {key, "", key, key + '\0'};
}

http_request changesRequest(store_version after)
{
    http_request request;
    request.target = fmt::format("{}?{}={}", changesPath, afterParameter, after);
    return request;
}

std::vector<replica_entry> listOf(const std::map<upstream_id, replica_entry> &entries)
{
    std::vector<replica_entry> listed;
    listed.reserve(entries.size());
    for (const auto &[id, entry] : entries)
        listed.push_back(entry);
    return listed;
}

} // namespace

replica_discovery::replica_discovery(const asio::any_io_executor &executor, store &rows,
                                     std::shared_ptr<peer_transport> transport,
                                     const daemon_id &self, const mechanism_set &mechanisms,
                                     replicas_callback onReplicas)
    : m_executor(executor), m_store(rows), m_transport(std::move(transport)),
      m_mechanisms(mechanisms), m_onReplicas(std::move(onReplicas)),
      m_pool(executor, maxIdle, maxIdleConnections),
      m_random(static_cast<std::uint_fast32_t>(stableHash(self.value)))
{ }

bool replica_discovery::shouldReadTable()
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (!m_mechanisms.has(mechanism::SharedTablePolling))
        return true;
    const auto age = m_table.age(runtime_clock::now());
    if (age)
        return isReadDue(m_readSchedule, age, draw);
    // All daemons may have started at once. The number of readers doubles with each poll, and
    // daemons that learn of another's copy fetch that one.
    const int polls = m_pollsWithoutCopy++;
    const poll_schedule schedule{m_readSchedule.propagationBound,
                                 m_readSchedule.liveDaemons
                                     >> std::min(polls, maxPollsWithoutCopy)};
    return polls >= maxPollsWithoutCopy || isReadDue(schedule, duration::zero(), draw);
}

awaitable<void> replica_discovery::readTable()
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    bool isRead = false;
    if (m_table.version() != 0 && draw >= fullReadShare)
        isRead = co_await readChanges(storeCallTimeout);
    if (!isRead)
        co_await readFullTable();
}

awaitable<void> replica_discovery::readFullTable()
{
    const time_point began = runtime_clock::now();
    row_range range = replicaRange();
    auto page = co_await m_store.read(std::move(range), began + storeCallTimeout);
    if (!page)
        co_return;
    row_page table = std::move(*page);
    // The pages of a long read are of different versions. Without the changes since the first one,
    // the copy would equal no version of the table, and other copies could not be compared with it.
    if (table.rows.size() >= fullPageRows)
        table = co_await withChangesSince(std::move(table));
    if (m_table.onRead(table, began))
        applyChanges("read");
}

awaitable<row_page> replica_discovery::withChangesSince(row_page table)
{
    std::size_t rows = fullPageRows;
    while (rows >= fullPageRows) {
        std::string name = replicaRange().table;
        const time_point deadline = runtime_clock::now() + storeCallTimeout;
        const auto changes
            = co_await m_store.changes(std::move(name), table.version, duration::zero(), deadline);
        if (!changes)
            break;
        rows = changes->version > table.version ? changes->rows.size() : 0;
        applyFeed(table, *changes);
    }
    co_return table;
}

awaitable<bool> replica_discovery::readChanges(duration timeout)
{
    bool isChanged = false;
    std::size_t rows = fullPageRows;
    while (rows >= fullPageRows) {
        const time_point began = runtime_clock::now();
        std::string table = replicaRange().table;
        const auto page = co_await m_store.changes(std::move(table), m_table.version(),
                                                   duration::zero(), began + timeout);
        if (!page) {
            const bool isGone = page.error().kind == store_error_kind::HistoryGone;
            if (isChanged)
                applyChanges("feed");
            co_return !isGone;
        }
        rows = page->rows.size();
        isChanged = m_table.onFeed(*page, began, rows < fullPageRows) || isChanged;
    }
    if (isChanged)
        applyChanges("feed");
    co_return true;
}

awaitable<void> replica_discovery::probeStore()
{
    row_range range = absentRow();
    const time_point deadline = runtime_clock::now() + storeCallTimeout;
    static_cast<void>(co_await m_store.read(std::move(range), deadline));
}

void replica_discovery::logStoreReachability()
{
    const bool reachable = m_transport->isDirectWorking();
    if (reachable == m_storeWasReachable)
        return;
    logDecision(reachable ? log_event::StoreRecovered : log_event::StoreUnreachable,
                {{"detail", m_transport->lastDirectFailure()}});
    m_storeWasReachable = reachable;
}

copy_freshness replica_discovery::freshness()
{
    const time_point now = runtime_clock::now();
    copy_freshness copy;
    copy.age = m_table.age(now).value_or(duration::zero());
    copy.sinceStoreAnswer = now - m_transport->lastAnswer();
    if (!isInTouch(m_readSchedule, copy.sinceStoreAnswer))
        m_inTouchSince.reset();
    else if (!m_inTouchSince)
        m_inTouchSince = now;
    copy.inTouchFor = m_inTouchSince ? now - *m_inTouchSince : duration::zero();
    return copy;
}

void replica_discovery::updateOutdated(const copy_freshness &copy)
{
    const bool isOutdated = isCopyOutdated(m_readSchedule, copy);
    if (isOutdated == m_isOutdated)
        return;
    m_isOutdated = isOutdated;
    logDecision(isOutdated ? log_event::ReplicasOutdated : log_event::ReplicasRefreshed,
                {{"age_ms", toMilliseconds(copy.age)},
                 {"version", static_cast<std::int64_t>(m_table.version())}});
    if (m_onOutdated)
        m_onOutdated(isOutdated);
}

awaitable<void> replica_discovery::refresh()
{
    const bool isRead = co_await readChanges(refreshTimeout(m_readSchedule));
    if (!isRead)
        co_await readFullTable();
    m_isRefreshing = false;
    updateOutdated(freshness());
}

awaitable<void> replica_discovery::keepFresh()
{
    while (true) {
        co_await sleepFor(freshnessCheckInterval(m_readSchedule));
        const copy_freshness copy = freshness();
        updateOutdated(copy);
        if (m_isRefreshing || !isRefreshDue(m_readSchedule, copy))
            continue;
        m_isRefreshing = true;
        spawn(m_executor, "refreshReplicas", refresh());
    }
}

awaitable<void> replica_discovery::follow()
{
    // A loop of its own: a poll may wait several seconds for a store that does not answer.
    spawn(m_executor, "keepReplicasFresh", keepFresh());
    while (true) {
        const duration pause = pollInterval(m_readSchedule);
        // Callers are sent to daemons that reach the store, so each daemon checks at this interval
        // whether it does.
        const bool isStoreSilent
            = runtime_clock::now() - m_transport->lastAnswer() > pause || !m_storeWasReachable;
        if (shouldReadTable())
            co_await readTable();
        else if (isStoreSilent)
            co_await probeStore();
        logStoreReachability();
        // Randomised, so that daemons that started together don't read at the same time.
        const double draw = std::uniform_real_distribution<double>(0.9, 1.1)(m_random);
        co_await sleepFor(std::chrono::duration_cast<duration>(pause * draw));
    }
}

void replica_discovery::onDigest(const peer_digest &announcement)
{
    const bool isBehind
        = m_table.onDigest(announcement.digest, announcement.askedAt) == digest_comparison::Behind;
    if (!isBehind || m_isFetchingChanges)
        return;
    m_isFetchingChanges = true;
    spawn(m_executor, "takeReplicaChanges", fetchChanges(announcement));
}

awaitable<void> replica_discovery::fetchChanges(peer_digest announcement)
{
    const time_point began = runtime_clock::now();
    const bool isFullTable = m_table.version() == 0;
    const time_point deadline = began + (isFullTable ? fullTableTimeout : changesTimeout);
    http_connection connection = m_pool.take(announcement.peer, began);
    bool isConnected = connection.isReusable();
    if (!isConnected) {
        const auto connected = co_await connection.connect(announcement.peer, deadline);
        isConnected = connected.has_value();
    }
    bool isApplied = false;
    bool isPeerBusy = false;
    if (isConnected) {
        http_request request = changesRequest(m_table.version());
        const auto response = co_await connection.exchange(std::move(request), deadline);
        if (response && response->status == 200) {
            const auto changes = decodeChanges(response->body, replicaRange().table);
            isApplied = changes && m_table.onChanges(*changes, began);
            m_pool.give(announcement.peer, std::move(connection), runtime_clock::now());
        }
        isPeerBusy = response && response->status == statusBusy;
    }
    m_isFetchingChanges = false;
    if (isApplied)
        applyChanges("peer");
    else if (!isPeerBusy && m_table.version() < announcement.digest.version)
        co_await readTable();
}

bool replica_discovery::isChangesRequest(const http_request &request)
{
    return request.path() == changesPath;
}

http_response replica_discovery::serveChanges(const http_request &request)
{
    const std::string parameter = request.query(afterParameter).value_or("");
    store_version after = 0;
    const auto [end, error]
        = std::from_chars(parameter.data(), parameter.data() + parameter.size(), after);
    const bool isNumber = error == std::errc() && end == parameter.data() + parameter.size();
    if (!isNumber || m_table.version() == 0)
        return jsonResponse(isNumber ? statusBusy : 400, "{}");
    const time_point now = runtime_clock::now();
    const table_changes changes = m_table.changesSince(after, now);
    const bool isLarge = changes.isSnapshot && changes.rows.size() > fullPageRows;
    if (isLarge && now < m_fullTableServedAt + fullTableServeInterval)
        return jsonResponse(statusBusy, "{}");
    if (isLarge)
        m_fullTableServedAt = now;
    return jsonResponse(200, encodeChanges(changes));
}

time_point replica_discovery::earliestDrainDeadline(time_point notBefore) const
{
    return notBefore + m_readSchedule.propagationBound - maxTransmissionTime;
}

bool replica_discovery::applyRow(const std::string &key, std::optional<time_point> drainNotBefore)
{
    const upstream_id id{key};
    const auto old = m_replicas.find(id);
    const replica_entry *const known = old == m_replicas.end() ? nullptr : &old->second;
    const auto row = m_table.rows().find(key);
    if (row == m_table.rows().end())
        return m_replicas.erase(id) != 0;
    auto read = decodeReplica(row->second);
    if (!read) {
        m_unreadable.logOnce(log_event::ReplicaRowUnreadable, row->second, read.error());
        return m_replicas.erase(id) != 0;
    }
    // A replica that is not known may have been listed, and draining, before.
    if (known && read->draining && drainNotBefore) {
        read->drainNotBefore = *drainNotBefore;
        read->drainDeadline = earliestDrainDeadline(*drainNotBefore);
    }
    replica_entry entry = known ? latestEntry(*known, *read) : *read;
    const bool isChanged
        = !known || known->incarnation != entry.incarnation || known->draining != entry.draining;
    if (isChanged && ++m_loggedReplicas <= maxReplicaLogLines)
        logReplica(known, entry);
    m_replicas.insert_or_assign(id, std::move(entry));
    return isChanged;
}

void replica_discovery::applyChanges(std::string_view source)
{
    std::size_t changed = 0;
    m_loggedReplicas = 0;
    const std::optional<time_point> drainNotBefore = m_table.changedAfter();
    for (const std::string &key : m_table.takeChanged()) {
        const bool wasKnown = m_replicas.contains({key});
        changed += applyRow(key, drainNotBefore) ? 1 : 0;
        if (wasKnown && !m_replicas.contains({key}) && ++m_loggedReplicas <= maxReplicaLogLines)
            logDecision(log_event::ReplicaGone, {{"replica", key}});
    }
    m_hasReplicas = true;
    logDecision(log_event::ReplicasAdopted,
                {{"source", std::string(source)},
                 {"version", static_cast<std::int64_t>(m_table.version())},
                 {"age_ms", toMilliseconds(m_table.age(runtime_clock::now()).value_or(duration()))},
                 {"replicas", static_cast<std::int64_t>(m_replicas.size())},
                 {"changed", static_cast<std::int64_t>(changed)}});
    m_onReplicas(listOf(m_replicas));
}

void replica_discovery::logReplica(const replica_entry *known, const replica_entry &entry) const
{
    const replica_incarnation &who = entry.incarnation;
    if (!known) {
        logDecision(
            log_event::ReplicaListed,
            {{"replica", who.id.value}, {"born", who.startedUnixMs}, {"service", entry.service}});
        return;
    }
    if (known->incarnation != who) {
        logDecision(log_event::ReplicaRestarted,
                    {{"replica", who.id.value},
                     {"born", who.startedUnixMs},
                     {"born_before", known->incarnation.startedUnixMs},
                     {"was_draining", known->draining}});
    }
    const bool wasDraining = known->incarnation == who && known->draining;
    if (entry.draining && !wasDraining)
        logDecision(log_event::ReplicaDraining,
                    {{"replica", who.id.value},
                     {"left_ms", toMilliseconds(entry.drainDeadline - runtime_clock::now())}});
}

} // namespace azurehill
