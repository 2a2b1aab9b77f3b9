#include "entry/entry_control.h"

#include "core/log_event.h"
#include "entry/port_limits.h"
#include "limits/limits.h"
#include "platform/config_codec.h"
#include "platform/ingress.h"
#include "platform/replica_codec.h"
#include "platform/store_rows.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Maximum wait of one long-poll call to the change feed. Short, since a feed may stop delivering
/// while changes are made.
constexpr duration feedPollTimeout = seconds(2);
constexpr duration feedTimeoutMargin = seconds(1);
/// Full reads of the configuration within the time in which a new one must be in force, in addition
/// to the feed: a feed that stopped delivering would otherwise leave the daemon with an outdated
/// configuration.
constexpr double configReadsPerApply = 1.3;
/// Read interval of the member rows, and the number of daemons that read within it. Daemons learn
/// by gossip which members are alive; the rows only show members that no gossip has reported, so a
/// few readers at a time are enough for all.
constexpr duration membersReadInterval = seconds(2);
constexpr std::size_t concurrentMemberReaders = 16;
constexpr duration storeCallTimeout = milliseconds(1000);
constexpr duration retryInterval = milliseconds(200);

/// Maximum number of log lines on members that joined or failed in one message or gossip round.
/// Otherwise a restart of all hosts would make each daemon write a line on each other one.
constexpr std::size_t maxMemberLogLines = 4;

constexpr std::string_view memberTable = "members";
/// Maximum time to live of a look-up. Short, so that callers soon stop using a daemon that has
/// stopped.
constexpr duration lookupTtl = seconds(1);
constexpr std::size_t maxAddresses = 64;

member_state makeSelf(const host_settings &s)
{
    member_state m;
    m.name = s.name;
    m.incarnation = unixMilliseconds();
    m.clients = s.clients;
    m.peers = s.peers;
    m.gossip = s.gossip;
    m.dataCentre = s.dataCentre;
    m.cores = s.cores;
    return m;
}

row_name memberRow(const daemon_id &name)
{
    return {std::string(memberTable), "", name.value};
}

time_point storeCallDeadline()
{
    return runtime_clock::now() + storeCallTimeout;
}

duration fraction(duration whole, double count)
{
    return std::chrono::duration_cast<duration>(whole / count);
}

} // namespace

entry_control::entry_control(asio::io_context &context, const host_settings &settings,
                             control_events events, std::shared_ptr<memory_account> memory)
    : m_context(context), m_settings(settings), m_events(std::move(events)),
      m_transport(std::make_shared<peer_transport>(context.get_executor(), settings.storeAddress,
                                                   settings.mechanisms)),
      m_store(m_transport), m_memory(memory ? std::move(memory) : makeMemoryAccount(settings)),
      m_readinessServer(
          context.get_executor(), limitsOf(daemon_port::Readiness, settings),
          [this](const http_request &r, response_writer &w) { return handleRequest(r, w); },
          m_memory),
      m_lookupServer(
          context.get_executor(), limitsOf(daemon_port::Lookups, settings),
          [this](const http_request &r, response_writer &w) { return handleRequest(r, w); },
          m_memory),
      m_peerServer(
          context.get_executor(), limitsOf(daemon_port::Peers, settings),
          [this](const http_request &r, response_writer &w) { return handlePeerRequest(r, w); },
          m_memory),
      m_membership(makeSelf(settings), stableHash(settings.name.value)),
      m_random(static_cast<std::uint_fast32_t>(stableHash(settings.name.value))),
      m_gossip(context.get_executor(),
               [this](const probe_message &m, const endpoint &from) { onGossip(m, from); }),
      m_replicas(
          context.get_executor(), m_store, m_transport, settings.name, settings.mechanisms,
          [this](std::vector<replica_entry> listed) { m_events.onReplicas(std::move(listed)); })
{ }

std::optional<control_ports> entry_control::start()
{
    const control_ports ports{m_readinessServer.listen(m_settings.readiness),
                              m_lookupServer.listen(m_settings.lookups),
                              m_peerServer.listen(m_settings.peers)};
    const bool bound = ports.readiness != 0 && ports.lookups != 0 && ports.peers != 0
        && m_gossip.listen(m_settings.gossip) != 0;
    if (!bound)
        return std::nullopt;
    const auto executor = m_context.get_executor();
    spawn(executor, "followConfiguration", followConfiguration());
    spawn(executor, "pollConfiguration", pollConfiguration());
    m_replicas.setDrainTime(m_settings.replicaDrain);
    if (m_events.onReplicasOutdated)
        m_replicas.onOutdated(m_events.onReplicasOutdated);
    spawn(executor, "pollMembers", pollMembers());
    spawn(executor, "gossip", gossip());
    return ports;
}

void entry_control::setSettings(const host_settings &settings)
{
    m_replicas.setDrainTime(settings.replicaDrain);
    m_settings.configApply = settings.configApply;
    m_settings.grace = settings.grace;
    m_settings.lookupTtl = settings.lookupTtl;
    m_settings.seeds = settings.seeds;
    m_settings.memoryBytes = settings.memoryBytes;
    m_settings.fileDescriptors = settings.fileDescriptors;
    m_memory->setLimit(limitsFor(settings.memoryBytes, settings.fileDescriptors).connectionBytes);
    m_readinessServer.setLimits(limitsOf(daemon_port::Readiness, m_settings));
    m_lookupServer.setLimits(limitsOf(daemon_port::Lookups, m_settings));
    m_peerServer.setLimits(limitsOf(daemon_port::Peers, m_settings));
}

void entry_control::setAdmissionReport(concurrency_reports report)
{
    m_membership.setDemandReports(std::move(report));
}

void entry_control::setReplicaReport(replica_reports report)
{
    m_membership.setReplicaReports(std::move(report));
}

entry_gauges entry_control::gauges() const
{
    entry_gauges g;
    g.members = static_cast<int>(m_membership.members().aliveCount()) + 1;
    const auto &replicas = m_replicas.replicas();
    g.replicas = static_cast<int>(replicas.size());
    g.drainingReplicas = static_cast<int>(std::count_if(
        replicas.begin(), replicas.end(), [](const auto &item) { return item.second.draining; }));
    g.configVersion = m_routes ? m_routes->version() : 0;
    g.storeReachable = m_transport->isDirectWorking();
    g.storeAge = runtime_clock::now() - m_transport->lastAnswer();
    return g;
}

void entry_control::leave()
{
    m_isLeaving = true;
    send(m_membership.leave());
}

awaitable<void> entry_control::unregister(time_point deadline)
{
    store_transaction t;
    t.removals.push_back(memberRow(m_settings.name));
    // A store that doesn't answer must not use up the time in which answers finish. Peers also drop
    // this daemon without the removal of its row, since its heartbeats end.
    const time_point until = std::min(storeCallDeadline(), deadline);
    const auto done = co_await m_store.transact(std::move(t), until);
    if (!done)
        logDecision(log_event::DeregistrationFailed, {{"detail", done.error().detail}});
}

http_response entry_control::answerLookup()
{
    // Suspected daemons are left out, since they may have stopped; callers find enough others until
    // that is certain.
    member_list::selection all = m_membership.members().healthy();
    all.push_back(&m_membership.self());
    std::vector<endpoint> reachingStore;
    std::vector<endpoint> serving;
    for (const member_state *m : all) {
        if (!m->serving)
            continue;
        serving.push_back(m->clients);
        if (m->storeReachable)
            reachingStore.push_back(m->clients);
    }
    // A daemon that the store rejects is slower, so callers are sent to the others, unless those
    // are too few to carry the load.
    constexpr std::size_t maxServingPerReaching = 3;
    std::vector<endpoint> &chosen
        = reachingStore.size() * maxServingPerReaching >= serving.size() ? reachingStore : serving;
    if (chosen.empty())
        return encodeLocalReply(local_reply::Refused, "no daemon serves", retryInterval);
    // A random selection each time: in a system with more daemons than an answer holds, the first
    // by name would otherwise get all new callers, while everything else is divided among all
    // daemons.
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    if (chosen.size() > maxAddresses)
        chosen.resize(maxAddresses);
    return encodeLookupReply(chosen, std::min<duration>(lookupTtl, m_settings.lookupTtl));
}

awaitable<void> entry_control::handleRequest(const http_request &request, response_writer &writer)
{
    http_response response;
    if (isLookupPath(request.path())) {
        response = answerLookup();
    } else if (isReadinessPath(request.path())) {
        const bool ready = m_membership.self().serving;
        response = ready ? jsonResponse(200, "{}")
                         : encodeLocalReply(local_reply::Refused, "not ready", retryInterval);
    } else {
        response = encodeLocalReply(local_reply::NoRoute, "", {});
    }
    co_await writer.write(std::move(response));
}

awaitable<void> entry_control::handlePeerRequest(const http_request &request,
                                                 response_writer &writer)
{
    http_response response;
    if (isRelayedCall(request))
        response = co_await answerRelayedCall(*m_transport, request);
    else if (replica_discovery::isChangesRequest(request))
        response = m_replicas.serveChanges(request);
    else
        response = encodeLocalReply(local_reply::NoRoute, "", {});
    co_await writer.write(std::move(response));
}

void entry_control::adoptConfiguration(const stored_row &row, std::string_view source)
{
    auto book = decodeConfiguration(row.value);
    if (!book) {
        m_unreadable.logOnce(log_event::ConfigurationUnreadable, row, book.error());
        return;
    }
    // An older version may be read after a newer one; it must never take effect again.
    if (m_routes && (*book)->version() <= m_routes->version())
        return;
    m_routes = *book;
    logDecision(log_event::ConfigurationAdopted,
                {{"version", static_cast<std::int64_t>(m_routes->version())},
                 {"row_version", static_cast<std::int64_t>(row.version)},
                 {"routes", static_cast<std::int64_t>(m_routes->routes().size())},
                 {"source", std::string(source)}});
    m_events.onRoutes(m_routes);
}

awaitable<void> entry_control::readConfiguration()
{
    row_range range = configurationRange();
    const auto page = co_await m_store.read(std::move(range), storeCallDeadline());
    if (!page)
        co_return;
    for (const stored_row &row : page->rows)
        adoptConfiguration(row, "read");
}

awaitable<void> entry_control::pollConfiguration()
{
    while (true) {
        co_await readConfiguration();
        const duration delay
            = m_routes ? fraction(m_settings.configApply, configReadsPerApply) : retryInterval;
        co_await sleepFor(delay);
    }
}

awaitable<void> entry_control::followConfiguration()
{
    store_version after = 0;
    while (true) {
        if (after == 0) {
            row_range range = configurationRange();
            const auto page = co_await m_store.read(std::move(range), storeCallDeadline());
            if (page) {
                after = page->version;
                for (const stored_row &row : page->rows)
                    adoptConfiguration(row, "read");
            } else {
                co_await sleepFor(retryInterval);
            }
            continue;
        }
        std::string table = configurationTable();
        const time_point deadline = runtime_clock::now() + feedPollTimeout + feedTimeoutMargin;
        const auto page
            = co_await m_store.changes(std::move(table), after, feedPollTimeout, deadline);
        if (page) {
            after = std::max(after, page->version);
            for (const stored_row &row : page->rows) {
                if (row.name.key == configurationRange().from && !row.deleted)
                    adoptConfiguration(row, "feed");
            }
            continue;
        }
        if (page.error().kind == store_error_kind::HistoryGone)
            after = 0;
        co_await sleepFor(retryInterval);
    }
}

void entry_control::applyMemberRow(const stored_row &row)
{
    const auto states = decodeMembers(row.value);
    // A daemon registers only itself, under its own name; anything else has another writer.
    if (!states || states->size() != 1 || states->front().name.value != row.name.key)
        m_unreadable.logOnce(
            log_event::RowUnreadable, row,
            "the row does not hold the state of the member that it is named after");
    else
        m_membership.onStoredMember(states->front(), runtime_clock::now());
}

awaitable<bool> entry_control::readMembers()
{
    row_range range{std::string(memberTable), "", "", ""};
    const auto page = co_await m_store.read(std::move(range), storeCallDeadline());
    if (!page)
        co_return false;
    for (const stored_row &row : page->rows)
        applyMemberRow(row);
    co_return true;
}

awaitable<bool> entry_control::registerSelf()
{
    store_transaction t;
    t.writes.push_back({memberRow(m_settings.name), encodeMembers({m_membership.self()})});
    const auto done = co_await m_store.transact(std::move(t), storeCallDeadline());
    co_return done.has_value();
}

awaitable<void> entry_control::pollMembers()
{
    // The row of an earlier run is read before it is overwritten: this run must have a later
    // incarnation than that one, even if the host's clock was set back in between.
    bool hasRead = co_await readMembers();
    while (!hasRead) {
        co_await sleepFor(retryInterval);
        hasRead = co_await readMembers();
    }
    m_isIncarnationFinal = true;
    // The number of daemons that share the reads of the replica table is known from here on.
    updateDaemonCount();
    spawn(m_context.get_executor(), "followReplicas", m_replicas.follow());
    bool isRegistered = co_await registerSelf();
    while (!isRegistered) {
        co_await sleepFor(retryInterval);
        isRegistered = co_await registerSelf();
    }
    while (true) {
        co_await sleepFor(membersReadDelay());
        co_await readMembers();
    }
}

duration entry_control::membersReadDelay()
{
    const std::size_t daemons = m_membership.members().aliveCount() + 1;
    const double rounds = std::max(1.0, double(daemons) / concurrentMemberReaders);
    // Randomised, so that daemons that started together don't read at the same time.
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    return std::chrono::duration_cast<duration>(membersReadInterval * rounds * jitter);
}

void entry_control::updateDaemonCount()
{
    // After a start the store lists daemons that gossip has not reported yet.
    const member_list &members = m_membership.members();
    m_replicas.setDaemonCount(
        1 + (m_replicas.hasReplicas() ? members.aliveCount() : members.knownCount()));
}

void entry_control::updateReplicaDigest()
{
    if (const auto digest = m_replicas.digest())
        m_membership.setReplicaDigest(*digest, runtime_clock::now());
}

void entry_control::onGossip(const probe_message &message, const endpoint &from)
{
    updateReplicaDigest();
    send(m_membership.onMessage(message, from, runtime_clock::now()));
    for (const peer_digest &digest : m_membership.takeDigests())
        m_replicas.onDigest(digest);
    // A daemon that has just joined may get the next attempt of a request at once.
    if (logMembers())
        publishMembers();
}

bool entry_control::logMembers()
{
    const std::vector<member_change> changes = m_membership.takeChanges();
    std::size_t logged = 0;
    for (const member_change &c : changes) {
        if (++logged > maxMemberLogLines)
            break;
        logDecision(
            c.isAlive ? log_event::MemberBack : log_event::MemberGone,
            {{"member", c.member.name.value},
             {"incarnation", c.member.incarnation},
             {"version", static_cast<std::int64_t>(c.member.version)},
             {"alive", static_cast<std::int64_t>(m_membership.members().aliveCount() + 1)}});
    }
    return !changes.empty();
}

void entry_control::send(const std::vector<probe_datagram> &datagrams)
{
    for (const probe_datagram &d : datagrams)
        m_gossip.send(d.to, encodeProbe(d.message));
}

void entry_control::publishPeers()
{
    std::vector<endpoint> reachingStore;
    for (const member_state *m : m_membership.members().healthy()) {
        if (m->storeReachable)
            reachingStore.push_back(m->peers);
    }
    const int count = static_cast<int>(m_membership.members().aliveCount()) + 1;
    if (reachingStore == m_peersReachingStore && count == m_aliveCount)
        return;
    m_peersReachingStore = reachingStore;
    m_aliveCount = count;
    m_transport->setPeers(reachingStore);
    m_events.onPeers(std::move(reachingStore), count);
}

void entry_control::publishMembers()
{
    if (!m_isIncarnationFinal || !m_events.onMembers)
        return;
    std::vector<member_state> all{m_membership.self()};
    for (const member_state *m : m_membership.members().alive())
        all.push_back(*m);
    const auto isSame = [](const member_state &a, const member_state &b) {
        return a.name == b.name && compareAge(a, b) == 0;
    };
    if (std::equal(all.begin(), all.end(), m_lastPublishedMembers.begin(),
                   m_lastPublishedMembers.end(), isSame))
        return;
    m_lastPublishedMembers = all;
    member_state self = std::move(all.front());
    all.erase(all.begin());
    m_events.onMembers(std::move(self), std::move(all));
}

void entry_control::forwardPeerReports() const
{
    m_events.onAdmissionReports(m_membership.receivedDemandReports());
    std::vector<replica_reports> reports = m_membership.receivedReplicaReports();
    if (!reports.empty() && m_events.onReplicaReports)
        m_events.onReplicaReports(std::move(reports));
}

awaitable<void> entry_control::gossip()
{
    while (true) {
        updateDaemonCount();
        updateReplicaDigest();
        const bool isServing
            = !m_isLeaving && m_routes && m_replicas.hasReplicas() && m_isQuarantineRestored;
        m_membership.setSelf(isServing, m_transport->isDirectWorking());
        send(m_membership.onRound(runtime_clock::now()));
        logMembers();
        // Until the store has listed a member, the seeds are the only way to reach the others. They
        // are the peer addresses of other hosts; all hosts use the same ports.
        if (m_membership.members().knownCount() == 0) {
            for (const endpoint &seed : m_settings.seeds) {
                const probe_message message = m_membership.joinMessage();
                m_gossip.send({seed.host, m_settings.gossip.port}, encodeProbe(message));
            }
        }
        publishPeers();
        publishMembers();
        forwardPeerReports();
        co_await sleepFor(membership_protocol::round);
    }
}

} // namespace azurehill
