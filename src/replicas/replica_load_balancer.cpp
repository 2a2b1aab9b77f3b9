#include "replicas/replica_load_balancer.h"

#include <algorithm>
#include <array>
#include <utility>

namespace azurehill {

namespace {

/// Cost of each of this daemon's outstanding requests at a model replica, in prompt tokens that it
/// could have read instead. Each daemon knows its own requests only, and the others have about as
/// many there. With too low a cost, the few replicas that have cached a prompt's prefix get all
/// requests; with too high a cost, prompts are read again elsewhere, which slows down all replicas.
constexpr double tokensPerOutstanding = 1000;
/// The same for a plain replica, as a multiple of its typical time and for each of its slots.
constexpr double firstByteTimesPerOutstanding = 3;
/// Fraction of the outstanding requests at a replica for which the reading time of a prompt's
/// uncached tokens is charged once more: while the engine reads a prompt, all its other requests
/// stall. Without this cost, a burst drives turns away from the replicas that have cached their
/// history, which slows down all replicas and drives away more turns: 27 in 100 turns moved at the
/// height of a burst instead of 8, and events came 2.3 instead of 1.4 times slower than when idle.
constexpr double prefillInterference = 0.5;
/// Cost of a replica in another data centre, in milliseconds: round trip and billed traffic.
constexpr double otherDataCentreMs = 6;
/// Cost of a new connection, in milliseconds: the replica's set-up time and a round trip in this or
/// to another data centre.
constexpr double connectionSetUpMs = 1;
constexpr double nearRoundTripMs = 0.5;
constexpr double farRoundTripMs = 2;
/// Relative range of the random factor on costs, so that daemons with the same knowledge don't all
/// choose the same replica.
constexpr double costJitter = 0.1;
/// Fraction of a replica's cache that is free for earlier prompts; the rest is used by the prompts
/// in progress.
constexpr double prefixCacheFraction = 0.7;
/// Assumed cache size of a replica until the configuration sets it.
constexpr std::int64_t defaultCacheTokens = 100'000;
/// Number of uses after which a prompt part counts as shared by many programs, and the time after
/// the last use for which it does.
constexpr int minUsesForShared = 6;
constexpr duration sharedPartTtl = seconds(10);
/// Time after a replica is first listed at which it has read the parts that many programs share.
constexpr duration warmUpTime = seconds(3);
constexpr std::size_t maxSharedParts = 4096;
/// Bounds on the parts in the model of one replica's cache.
constexpr std::size_t minPartsPerReplica = 32;
constexpr std::size_t maxPartsOfReplica = 2048;
/// Number of answers from which on the time estimate of a service is used.
constexpr int minSamples = 20;
/// Interval between the trial requests of all daemons together to a replica that fails requests;
/// each trial costs a request.
constexpr duration jointTrialInterval = milliseconds(500);
/// Time for which an observation of a replica is reported.
constexpr duration reportTtl = seconds(2);
/// If more than one in this many replicas of a service fail requests, the requests are to blame.
constexpr int failingReplicaDivisor = 3;
/// Bounds of the time for which a plain replica is avoided after a refusal, and how often that time
/// is doubled for consecutive refusals. 62 daemons at 46 % load had 0.43 refusals per request
/// without this time, 0.23 with at most 250 ms and 0.12 with at most 2 s.
constexpr double minShedBackoffMs = 20;
constexpr double maxShedBackoffMs = 2000;
constexpr int maxShedDoublings = 2;
/// Cost of another request in flight at a replica that may end: that request would be lost as well.
constexpr double otherRequestMs = 1000;
/// Upper bound of the learned slowness of a replica relative to its service.
constexpr double maxSlowness = 8;

/// \returns an estimate of the prompt tokens of \p request that earlier turns have already sent.
/// The last part is the session's own and grows with each turn.
std::int64_t estimatedPreviousTokens(const placement_request &request)
{
    const std::int64_t own = request.parts.empty() ? 0 : request.parts.back().tokens;
    return std::max<std::int64_t>(0, request.promptTokens - own / (request.turnsBefore + 1));
}

/// \returns the cost of a new connection to a replica in this or another data centre.
double newConnectionMs(bool isFar)
{
    return connectionSetUpMs + (isFar ? farRoundTripMs : nearRoundTripMs);
}

/// \brief The cheapest replicas for a request, with and without an idle connection.
///
/// The random factor on costs (10 ms for requests of 100 ms) outweighs the cost of a connection.
/// Therefore a replica with an idle connection is chosen if its cost exceeds the lowest by no more
/// than that factor and a new connection. The exception is one in another data centre, which does
/// not take the place of a replica in this one.
class cheapest_replicas
{
public:
    /// \returns whether a replica of \p cost may be chosen.
    bool mayChoose(double cost) const { return !m_cheapest || cost <= maxReuseCost(); }
    void add(const placement &candidate, bool isFar, bool isConnected)
    {
        if (!m_cheapest || candidate.cost < m_cheapest->cost) {
            m_cheapest = candidate;
            m_connectMs = isConnected ? 0 : newConnectionMs(isFar);
            m_isFar = isFar;
        }
        if (isConnected)
            keepCheaper(m_connected, candidate);
        if (isConnected && !isFar)
            keepCheaper(m_connectedNear, candidate);
    }
    /// \returns the replica to choose, or nothing if none was added. Its cost includes a new
    /// connection if it needs one.
    std::optional<placement> choice() const
    {
        if (!m_cheapest)
            return std::nullopt;
        const auto &connected = m_isFar ? m_connected : m_connectedNear;
        if (connected && connected->cost <= maxReuseCost())
            return connected;
        std::optional<placement> result = m_cheapest;
        result->cost += m_connectMs;
        return result;
    }

private:
    double maxReuseCost() const { return (1 + costJitter) * m_cheapest->cost + m_connectMs; }
    static void keepCheaper(std::optional<placement> &kept, const placement &candidate)
    {
        if (!kept || candidate.cost < kept->cost)
            kept = candidate;
    }

    std::optional<placement> m_cheapest;
    /// Cost of a new connection to the cheapest replica; 0 if an idle one can be reused.
    double m_connectMs = 0;
    bool m_isFar = false;
    std::optional<placement> m_connected;
    std::optional<placement> m_connectedNear;
};

} // namespace

replica_load_balancer::replica_load_balancer(data_centre_id here, std::uint64_t seed,
                                             const mechanism_set &mechanisms)
    : m_here(std::move(here)), m_random(seed), m_mechanisms(mechanisms)
{ }

std::vector<replica_entry>
replica_load_balancer::setReplicas(const std::vector<replica_entry> &listed, time_point now)
{
    std::vector<replica_entry> ended;
    std::unordered_map<upstream_id, replica_state> next;
    m_byService.clear();
    for (const replica_entry &read : listed) {
        const upstream_id &id = read.incarnation.id;
        const auto old = m_replicas.find(id);
        const bool isKnown = old != m_replicas.end();
        const replica_entry entry = isKnown ? latestEntry(old->second.entry, read) : read;
        const bool isSameProcess = isKnown && old->second.entry.incarnation == entry.incarnation;
        if (isKnown && !isSameProcess)
            ended.push_back(old->second.entry);
        replica_state state;
        if (isSameProcess) {
            state = std::move(old->second);
        } else {
            state.health.onAnswer(now);
            state.listedAt = now;
        }
        state.entry = entry;
        m_byService[entry.service].push_back(id);
        next.emplace(id, std::move(state));
    }
    m_replicas = std::move(next);
    for (auto &[name, service] : m_services) {
        service.replicas = 0;
        service.outstanding = 0;
    }
    for (const auto &[id, state] : m_replicas) {
        service_state &service = m_services[state.entry.service];
        ++service.replicas;
        service.outstanding += state.outstanding;
    }
    return ended;
}

const replica_load_balancer::replica_state *
replica_load_balancer::find(const replica_incarnation &who) const
{
    const auto found = m_replicas.find(who.id);
    const bool isListed = found != m_replicas.end() && found->second.entry.incarnation == who;
    return isListed ? &found->second : nullptr;
}

replica_load_balancer::replica_state *replica_load_balancer::find(const replica_incarnation &who)
{
    return const_cast<replica_state *>(std::as_const(*this).find(who));
}

const replica_entry *replica_load_balancer::entryOf(const replica_incarnation &who) const
{
    const replica_state *const r = find(who);
    return r ? &r->entry : nullptr;
}

bool replica_load_balancer::isDraining(const replica_incarnation &who) const
{
    const replica_state *const r = find(who);
    return r && r->entry.draining;
}

bool replica_load_balancer::isAccepting(const replica_incarnation &who) const
{
    const replica_state *const r = find(who);
    return r && !r->leaving && !r->entry.draining && !m_isOutdated;
}

bool replica_load_balancer::mayRepeatAt(const replica_incarnation &who, time_point now) const
{
    const replica_state *const r = find(who);
    return r && !r->leaving && !m_isOutdated
        && (!r->entry.draining || now < r->entry.drainDeadline);
}

bool replica_load_balancer::isReplaced(const replica_incarnation &who) const
{
    return m_replicas.contains(who.id) && !find(who);
}

void replica_load_balancer::setLeaving(const replica_incarnation &who)
{
    if (replica_state *r = find(who))
        r->leaving = true;
}

bool replica_load_balancer::isAvailable(const replica_state &r, time_point now) const
{
    if (r.leaving || r.entry.draining)
        return false;
    const auto service = m_services.find(r.entry.service);
    const bool ignoresEjection
        = r.health.isFailing() && service != m_services.end() && service->second.failsEverywhere;
    return ignoresEjection || r.health.isAvailable(now);
}

replica_load_balancer::readiness replica_load_balancer::readinessOf(const replica_state &r,
                                                                    time_point now) const
{
    if (!isAvailable(r, now))
        return readiness::Ejected;
    return now < r.shedUntil ? readiness::Shedding : readiness::Ready;
}

void replica_load_balancer::updateFailsEverywhere(const std::string &service)
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return;
    const auto failing
        = std::count_if(group->second.begin(), group->second.end(), [this](const upstream_id &id) {
              return m_replicas.at(id).health.isFailing();
          });
    m_services[service].failsEverywhere
        = failing * failingReplicaDivisor > static_cast<std::ptrdiff_t>(group->second.size());
}

int replica_load_balancer::availableReplicas(std::string_view service, time_point now) const
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return 0;
    return static_cast<int>(
        std::count_if(group->second.begin(), group->second.end(),
                      [&](const upstream_id &id) { return isAvailable(m_replicas.at(id), now); }));
}

int replica_load_balancer::availableSlots(std::string_view service, time_point now) const
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return 0;
    int slots = 0;
    for (const upstream_id &id : group->second) {
        const replica_state &r = m_replicas.at(id);
        if (isAvailable(r, now))
            slots += r.entry.slots;
    }
    return slots;
}

int replica_load_balancer::ejectedReplicas() const
{
    return static_cast<int>(
        std::count_if(m_replicas.begin(), m_replicas.end(),
                      [](const auto &item) { return item.second.health.isEjected(); }));
}

void replica_load_balancer::setCacheTokens(const std::string &service, std::int64_t tokens)
{
    m_services[service].cacheTokens = tokens;
}

std::size_t replica_load_balancer::maxPartsPerReplica() const
{
    const std::size_t replicas = std::max<std::size_t>(1, m_replicas.size());
    return std::clamp(m_maxPromptParts / replicas, minPartsPerReplica, maxPartsOfReplica);
}

std::int64_t replica_load_balancer::cacheTokensForDaemon(const service_state &service) const
{
    const std::int64_t all = service.cacheTokens > 0 ? service.cacheTokens : defaultCacheTokens;
    return static_cast<std::int64_t>(prefixCacheFraction * double(all) / m_daemons);
}

std::int64_t replica_load_balancer::cachedTokens(const replica_state &r,
                                                 const placement_request &request,
                                                 const service_state &service, time_point now) const
{
    std::int64_t cached = r.cache.cachedPrefixTokens(request.parts, cacheTokensForDaemon(service));
    if (r.entry.incarnation == request.lastReplica)
        cached = std::max(cached, request.lastTokens);
    if (now - r.listedAt < warmUpTime || !m_mechanisms.has(mechanism::SharedPromptParts))
        return cached;
    // Other daemons have sent the parts that many programs share.
    std::int64_t shared = 0;
    for (const prompt_part &part : request.parts) {
        const auto found = service.shared.find(part.id);
        if (found == service.shared.end() || found->second.uses < minUsesForShared
            || now - found->second.usedAt > sharedPartTtl)
            break;
        shared += part.tokens;
    }
    return std::max(cached, shared);
}

const replica_load_balancer::replica_state *
replica_load_balancer::sessionHome(const std::vector<upstream_id> &group,
                                   const placement_request &request, time_point now) const
{
    if (request.session.empty() || !m_mechanisms.has(mechanism::SessionAffinity))
        return nullptr;
    const replica_state *home = nullptr;
    std::uint64_t highest = 0;
    for (const upstream_id &id : group) {
        const replica_state &r = m_replicas.at(id);
        if (!isAvailable(r, now) || request.tried.contains(r.entry.incarnation))
            continue;
        const std::uint64_t hash = stableHash(request.session, stableHash(id.value));
        if (home && hash < highest)
            continue;
        home = &r;
        highest = hash;
    }
    return home;
}

double replica_load_balancer::outstandingPerReplica(const service_state &service) const
{
    return double(service.outstanding) * m_daemons / std::max(1, service.replicas);
}

double replica_load_balancer::cost(const replica_state &r, const placement_request &request,
                                   std::int64_t cached, const service_state &service)
{
    std::uniform_real_distribution<double> jitter(1, 1 + costJitter);
    const double unread = double(std::max<std::int64_t>(0, request.promptTokens - cached));
    const double base = service.firstByteTime.cachedPromptMs();
    const double load = request.promptTokens > 0
        ? tokensPerOutstanding * service.firstByteTime.msPerToken() * r.outstanding
        : firstByteTimesPerOutstanding * base * r.outstanding / r.entry.slots;
    // Requests beyond the number of slots are queued until others end.
    const int waiting = std::max(0, r.outstanding + 1 - r.entry.slots);
    const double queue = base * waiting;
    const bool isFar = r.entry.dataCentre != m_here;
    const double sum = service.firstByteTime.expectedMs(unread) + load + queue;
    // While the engine reads a prompt, its other requests stall.
    const double stalledRequests = m_mechanisms.has(mechanism::PrefillInterference)
        ? prefillInterference * outstandingPerReplica(service)
        : 0;
    const double stallMs = stalledRequests * service.firstByteTime.msPerToken() * unread;
    return r.slowness * (sum + stallMs) * jitter(m_random) + (isFar ? otherDataCentreMs : 0);
}

void replica_load_balancer::recordPartUses(service_state &service,
                                           const std::vector<prompt_part> &parts, time_point now)
{
    if (service.shared.size() > maxSharedParts) {
        std::erase_if(service.shared,
                      [now](const auto &item) { return now - item.second.usedAt > sharedPartTtl; });
    }
    if (service.shared.size() > maxSharedParts) {
        std::erase_if(service.shared,
                      [](const auto &item) { return item.second.uses < minUsesForShared; });
    }
    if (service.shared.size() > maxSharedParts)
        service.shared.clear();
    for (const prompt_part &part : parts) {
        shared_part &s = service.shared[part.id];
        s.uses = now - s.usedAt > sharedPartTtl ? 1 : s.uses + 1;
        s.usedAt = now;
    }
}

std::optional<placement>
replica_load_balancer::choose(const placement_request &request, time_point now,
                              const idle_connection_lookup &hasIdleConnection)
{
    const auto group = m_byService.find(request.service);
    if (group == m_byService.end() || m_isOutdated)
        return std::nullopt;
    const service_state &service = m_services[request.service];
    const replica_state *const home = sessionHome(group->second, request, now);
    const bool chargesConnections
        = hasIdleConnection && m_mechanisms.has(mechanism::ReusedConnections);
    // If all replicas are ejected, the ejections are probably wrong, or there is nothing to lose.
    std::array<cheapest_replicas, 3> byReadiness;
    int candidates = 0;
    for (const upstream_id &id : group->second) {
        const replica_state &r = m_replicas.at(id);
        if (r.leaving || r.entry.draining || request.tried.contains(r.entry.incarnation))
            continue;
        std::int64_t cached = cachedTokens(r, request, service, now);
        if (&r == home)
            cached = std::max(cached, estimatedPreviousTokens(request));
        double candidateCost = cost(r, request, cached, service);
        // The next turn of the session goes to its home replica, which would have to read the
        // prompt again.
        if (home && &r != home)
            candidateCost
                += service.firstByteTime.msPerToken() * double(request.promptTokens - cached);
        // Rendezvous hashing: the replica with the highest hash of object and id is preferred.
        if (!request.affinityKey.empty() && r.outstanding < r.entry.slots)
            candidateCost
                *= 1 - 0.5 * double(stableHash(request.affinityKey + id.value) % 1000) / 1000;
        if (request.mayEndReplica)
            candidateCost += otherRequestMs * r.outstanding;
        const readiness ready = readinessOf(r, now);
        candidates += ready == readiness::Ejected ? 0 : 1;
        cheapest_replicas &cheapest = byReadiness.at(static_cast<std::size_t>(ready));
        if (!cheapest.mayChoose(candidateCost))
            continue;
        const bool isFar = r.entry.dataCentre != m_here;
        const bool isConnected = !chargesConnections || hasIdleConnection(r.entry.address);
        cheapest.add({r.entry, r.outstanding, cached, candidateCost, 0}, isFar, isConnected);
    }
    for (const cheapest_replicas &cheapest : byReadiness) {
        std::optional<placement> chosen = cheapest.choice();
        if (!chosen)
            continue;
        chosen->candidates = candidates;
        return chosen;
    }
    return std::nullopt;
}

std::optional<placement> replica_load_balancer::placementAt(const replica_incarnation &who,
                                                            std::int64_t cachedTokens) const
{
    if (!isAccepting(who))
        return std::nullopt;
    const replica_state &r = *find(who);
    return placement{r.entry, r.outstanding, cachedTokens, 0, 1};
}

std::vector<replica_entry> replica_load_balancer::entries(const std::string &service) const
{
    std::vector<replica_entry> result;
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return result;
    for (const upstream_id &id : group->second)
        result.push_back(m_replicas.at(id).entry);
    return result;
}

void replica_load_balancer::onSent(const placement &p, const placement_request &request,
                                   time_point now)
{
    replica_state *const found = find(p.replica.incarnation);
    if (!found)
        return;
    replica_state &r = *found;
    ++r.outstanding;
    ++m_services[request.service].outstanding;
    r.health.onSent(now);
    service_state &service = m_services[request.service];
    r.cache.setMaxParts(maxPartsPerReplica());
    r.cache.recordSend(request.parts, cacheTokensForDaemon(service));
    recordPartUses(service, request.parts, now);
}

void replica_load_balancer::onFirstByte(const placement &p, const placement_request &request,
                                        duration waited, time_point now)
{
    replica_state *const found = find(p.replica.incarnation);
    if (!found)
        return;
    replica_state &r = *found;
    r.health.onAnswer(now);
    r.shedInRow = 0;
    service_state &service = m_services[request.service];
    const double ms = std::chrono::duration<double, std::milli>(waited).count();
    const double unread = double(std::max<std::int64_t>(0, request.promptTokens - p.cachedTokens));
    const double expected = service.firstByteTime.expectedMs(unread);
    const bool isKnown = service.firstByteTime.samples() >= minSamples;
    service.firstByteTime.add(unread, ms);
    if (!isKnown || !m_mechanisms.has(mechanism::LearnedSlowness))
        return;
    constexpr double slownessWeight = 0.1;
    const double slowness = std::clamp(ms / expected, 0.5, maxSlowness);
    r.slowness += slownessWeight * (slowness - r.slowness);
}

void replica_load_balancer::onShed(const placement &p, const placement_request &request,
                                   time_point now)
{
    replica_state *const r = find(p.replica.incarnation);
    // A session that moves to another engine has its prompt read again, which takes longer than a
    // second refusal.
    const bool isPlain = request.promptTokens == 0;
    if (!r || !isPlain || !m_mechanisms.has(mechanism::ShedBackoff))
        return;
    // All daemons together occupy the slots, so the more daemons there are, the less of a replica's
    // load a single one takes away, and the longer it has to stay away.
    const double typicalMs = m_services[r->entry.service].firstByteTime.cachedPromptMs();
    const double daemonsPerSlot = std::max(1.0, double(m_daemons) / std::max(1, r->entry.slots));
    const double factor = daemonsPerSlot * (1 << std::min(r->shedInRow, maxShedDoublings));
    const std::chrono::duration<double, std::milli> backoff(
        std::clamp(typicalMs * factor, minShedBackoffMs, maxShedBackoffMs));
    r->shedUntil = now + std::chrono::duration_cast<duration>(backoff);
    ++r->shedInRow;
}

void replica_load_balancer::forEachEntry(
    const std::function<void(const replica_entry &)> &visit) const
{
    for (const auto &[id, state] : m_replicas)
        visit(state.entry);
}

void replica_load_balancer::onBytesReceived(const replica_incarnation &who, time_point now)
{
    if (replica_state *r = find(who))
        r->health.onAnswer(now);
}

void replica_load_balancer::onDone(const placement &p, send_outcome outcome, time_point now)
{
    replica_state *const found = find(p.replica.incarnation);
    if (!found)
        return;
    replica_state &r = *found;
    const bool wasEjected = r.health.isEjected();
    r.outstanding = std::max(0, r.outstanding - 1);
    service_state &service = m_services[r.entry.service];
    service.outstanding = std::max(0, service.outstanding - 1);
    const bool wasFailing = r.health.isFailing();
    recordOutcome(r, outcome, now);
    if (r.health.isFailing() != wasFailing)
        updateFailsEverywhere(r.entry.service);
    if (r.health.isEjected() == wasEjected)
        return;
    logDecision(wasEjected ? log_event::ReplicaReinstated : log_event::ReplicaEjected,
                {{"replica", p.replica.incarnation.id.value},
                 {"end", std::string(toName(outcome))},
                 {"silent_ms", toMilliseconds(now - r.health.lastReceivedAt())},
                 {"outstanding", std::int64_t(r.outstanding)}});
}

duration replica_load_balancer::trialDelay()
{
    // The range begins at 0, so that some daemon tries soon regardless of their number.
    std::uniform_real_distribution<double> factor(0, 2);
    return std::chrono::duration_cast<duration>(jointTrialInterval
                                                * (m_daemons * factor(m_random)));
}

replica_reports replica_load_balancer::recentReports(time_point now) const
{
    replica_reports reports;
    for (const auto &[id, r] : m_replicas) {
        if (reports.size() >= maxReplicaReports)
            break;
        const auto failedAt = r.health.failedAt();
        const auto recoveredAt = r.health.recoveredAt();
        if (failedAt && now - *failedAt < reportTtl)
            reports.emplace(id, replica_report::Failing);
        else if (recoveredAt && now - *recoveredAt < reportTtl)
            reports.emplace(id, replica_report::Recovered);
    }
    return reports;
}

void replica_load_balancer::mergeReports(const std::vector<replica_reports> &received,
                                         time_point now)
{
    std::map<upstream_id, int> failing;
    std::set<upstream_id> recovered;
    for (const replica_reports &reports : received) {
        for (const auto &[id, report] : reports) {
            if (report == replica_report::Failing)
                ++failing[id];
            else
                recovered.insert(id);
        }
    }
    for (const auto &[id, others] : failing) {
        const auto found = m_replicas.find(id);
        if (found != m_replicas.end() && !recovered.contains(id))
            found->second.health.onOthersReportFailing(others, now, trialDelay());
    }
    for (const upstream_id &id : recovered) {
        const auto found = m_replicas.find(id);
        if (found != m_replicas.end() && !failing.contains(id))
            found->second.health.onOthersReportRecovered(now);
    }
    for (const auto &[service, group] : m_byService)
        updateFailsEverywhere(service);
}

void replica_load_balancer::recordOutcome(replica_state &r, send_outcome outcome, time_point now)
{
    switch (outcome) {
    case send_outcome::Answered:
    case send_outcome::NotRun:
        r.health.onAnswer(now);
        break;
    case send_outcome::Failed:
        r.health.onFailed(now, trialDelay());
        break;
    case send_outcome::Broken:
        r.health.onBroken(now);
        break;
    case send_outcome::Silent:
    case send_outcome::Unreachable:
        r.health.onUnreachable(now);
        r.cache.clear();
        break;
    case send_outcome::Cancelled:
        break;
    }
}

time_point replica_load_balancer::lastReceivedAt(const replica_incarnation &who) const
{
    const replica_state *const r = find(who);
    return r ? r->health.lastReceivedAt() : time_point();
}

std::optional<duration> replica_load_balancer::typicalFirstByteTime(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.firstByteTime.samples() < minSamples)
        return std::nullopt;
    const first_byte_time_estimator &w = found->second.firstByteTime;
    constexpr double deviations = 4;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
        w.cachedPromptMs() + deviations * w.meanDeviationMs()));
}

} // namespace azurehill
