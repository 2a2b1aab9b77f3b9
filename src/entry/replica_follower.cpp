#include "entry/replica_follower.h"

#include "core/log_event.h"
#include "platform/replica_codec.h"
#include "platform/store_rows.h"

#include <fmt/format.h>

#include <charconv>

namespace azurehill {

namespace {

constexpr duration storeCallTime = milliseconds(1000);
/// Time for a daemon nearby to hand out its changes; after it this daemon reads for itself.
constexpr duration changesTime = milliseconds(250);
constexpr std::string_view changesPath = "/inner/replicas";
constexpr std::string_view afterParameter = "after";
constexpr duration maxIdle = seconds(2);
constexpr std::size_t maxIdleConnections = 1;
/// Lines on single replicas at one change of the entries; a start would write one for each.
constexpr std::size_t mostReplicaLines = 8;

/// \returns a row that is not there: an answer that says so costs the store least.
row_range touchedRow()
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

replica_follower::replica_follower(const asio::any_io_executor &executor, store &rows,
                                   std::shared_ptr<peer_transport> transport, const daemon_id &self,
                                   const mechanism_set &mechanisms, receiver onReplicas)
    : m_executor(executor), m_store(rows), m_transport(std::move(transport)),
      m_mechanisms(mechanisms), m_onReplicas(std::move(onReplicas)),
      m_pool(executor, maxIdle, maxIdleConnections),
      m_random(static_cast<std::uint_fast32_t>(stableHash(self.value)))
{ }

bool replica_follower::mustRead()
{
    const double chance = std::uniform_real_distribution<double>(0, 1)(m_random);
    if (!m_mechanisms.has(mechanism::TableTurns))
        return true;
    return isReadDue(m_turns, m_table.age(runtime_clock::now()), chance);
}

awaitable<void> replica_follower::readTable()
{
    const time_point began = runtime_clock::now();
    row_range range = replicaRange();
    const auto page = co_await m_store.read(std::move(range), began + storeCallTime);
    if (page && m_table.onRead(*page, began))
        adopt("read");
}

awaitable<void> replica_follower::touchStore()
{
    row_range range = touchedRow();
    const time_point deadline = runtime_clock::now() + storeCallTime;
    static_cast<void>(co_await m_store.read(std::move(range), deadline));
}

void replica_follower::logStore()
{
    const bool reachable = m_transport->isDirectWorking();
    if (reachable == m_storeWasReachable)
        return;
    logDecision(reachable ? log_event::StoreRegained : log_event::StoreLost,
                {{"detail", m_transport->lastDirectFailure()}});
    m_storeWasReachable = reachable;
}

awaitable<void> replica_follower::follow()
{
    while (true) {
        const duration pause = lookPause(m_turns);
        // Callers are sent to daemons that reach the store, so each looks as often whether it does.
        const bool isStoreSilent
            = runtime_clock::now() - m_transport->lastAnswer() > pause || !m_storeWasReachable;
        if (mustRead())
            co_await readTable();
        else if (isStoreSilent)
            co_await touchStore();
        logStore();
        // Apart by chance, so that daemons that started together don't read together.
        const double chance = std::uniform_real_distribution<double>(0.9, 1.1)(m_random);
        co_await sleepFor(std::chrono::duration_cast<duration>(pause * chance));
    }
}

void replica_follower::onDigest(const digest_news &news)
{
    const bool isBehind = m_table.onDigest(news.digest, news.askedAt) == digest_verdict::Behind;
    if (!isBehind || m_isTakingChanges)
        return;
    m_isTakingChanges = true;
    spawn(m_executor, "takeReplicaChanges", takeChanges(news));
}

awaitable<void> replica_follower::takeChanges(digest_news news)
{
    const time_point began = runtime_clock::now();
    const time_point deadline = began + changesTime;
    http_connection connection = m_pool.take(news.peer, began);
    bool isConnected = connection.isReusable();
    if (!isConnected) {
        const auto connected = co_await connection.connect(news.peer, deadline);
        isConnected = connected.has_value();
    }
    bool isTaken = false;
    if (isConnected) {
        http_request request = changesRequest(m_table.version());
        const auto response = co_await connection.exchange(std::move(request), deadline);
        if (response && response->status == 200) {
            const auto changes = decodeChanges(response->body, replicaRange().table);
            isTaken = changes && m_table.onChanges(*changes, began);
            m_pool.give(news.peer, std::move(connection), runtime_clock::now());
        }
    }
    m_isTakingChanges = false;
    if (isTaken)
        adopt("peer");
    else if (m_table.version() < news.digest.version)
        co_await readTable();
}

bool replica_follower::isChangesRequest(const http_request &request)
{
    return request.path() == changesPath;
}

http_response replica_follower::answerChanges(const http_request &request) const
{
    const std::string said = request.query(afterParameter).value_or("");
    store_version after = 0;
    const auto [end, error] = std::from_chars(said.data(), said.data() + said.size(), after);
    const bool isNumber = error == std::errc() && end == said.data() + said.size();
    if (!isNumber || m_table.version() == 0)
        return jsonResponse(isNumber ? 503 : 400, "{}");
    return jsonResponse(200, encodeChanges(m_table.changesSince(after, runtime_clock::now())));
}

void replica_follower::adopt(std::string_view source)
{
    std::map<upstream_id, replica_entry> next;
    std::size_t changed = 0;
    for (const auto &[key, row] : m_table.rows()) {
        const auto read = decodeReplica(row);
        if (!read) {
            m_unreadable.tell(log_event::ReplicaRowUnreadable, row, read.error());
            continue;
        }
        const auto old = m_replicas.find(read->incarnation.id);
        const replica_entry *const known = old == m_replicas.end() ? nullptr : &old->second;
        replica_entry entry = known ? latestEntry(*known, *read) : *read;
        const bool isChanged = !known || known->incarnation != entry.incarnation
            || known->draining != entry.draining;
        if (isChanged && ++changed <= mostReplicaLines)
            logReplica(known, entry);
        next.emplace(read->incarnation.id, std::move(entry));
    }
    for (const auto &[id, old] : m_replicas) {
        if (!next.contains(id) && ++changed <= mostReplicaLines)
            logDecision(log_event::ReplicaGone, {{"replica", id.value}});
    }
    m_replicas = std::move(next);
    m_hasReplicas = true;
    logDecision(log_event::ReplicasAdopted,
                {{"source", std::string(source)},
                 {"version", static_cast<std::int64_t>(m_table.version())},
                 {"age_ms", toMilliseconds(m_table.age(runtime_clock::now()).value_or(duration()))},
                 {"replicas", static_cast<std::int64_t>(m_replicas.size())},
                 {"changed", static_cast<std::int64_t>(changed)}});
    m_onReplicas(listOf(m_replicas));
}

void replica_follower::logReplica(const replica_entry *known, const replica_entry &entry) const
{
    const replica_incarnation &who = entry.incarnation;
    if (!known) {
        logDecision(
            log_event::ReplicaListed,
            {{"replica", who.id.value}, {"born", who.bornUnixMs}, {"service", entry.service}});
        return;
    }
    if (known->incarnation != who) {
        logDecision(log_event::ReplicaRestarted,
                    {{"replica", who.id.value},
                     {"born", who.bornUnixMs},
                     {"born_before", known->incarnation.bornUnixMs},
                     {"was_draining", known->draining}});
    }
    const bool wasDraining = known->incarnation == who && known->draining;
    if (entry.draining && !wasDraining)
        logDecision(log_event::ReplicaDraining, {{"replica", who.id.value}});
}

} // namespace azurehill
