#include "replicas/replica_load_balancer.h"

#include <algorithm>
#include <utility>

namespace azurehill {

namespace {

/// What one more request of ours at a model replica costs, in prompt tokens that it could have read
/// meanwhile. Each daemon sees its own requests only, and the others have about as many there. Too
/// low a price, and a few replicas that have a prompt's beginning take all the work; too high, and
/// prompts are read again elsewhere, which makes all slower.
constexpr double tokensPerOutstanding = 1000;
/// The same for a plain replica, in parts of its typical time and for each of its slots.
constexpr double firstByteTimesPerOutstanding = 3;
/// Part of the requests under way at a replica that a prompt's unread tokens are priced for once
/// more: while the engine reads, all that it works on stands still. Without it a burst drives turns
/// away from the replicas that have their history, which makes all slower, which drives away more:
/// 27 in 100 turns left theirs at the height of a burst, 8 with it, and events came 1.4 times
/// slower than idle in place of 2.3 times.
constexpr double prefillInterference = 0.5;
/// Milliseconds charged for another data centre: the way there and back, and bytes that are priced.
constexpr double otherDataCentreMs = 6;
/// Costs are drawn this far apart, so that daemons that know the same don't all choose alike.
constexpr double costJitter = 0.1;
/// A replica's cache also holds the prompts that it works on; this share of it is for earlier ones.
constexpr double cacheShare = 0.7;
/// Until the configuration says what a replica caches.
constexpr std::int64_t defaultCacheTokens = 100'000;
/// Uses of a part after which it counts as shared by many programs, and for how long.
constexpr int minUsesForShared = 6;
constexpr duration sharedPartTtl = seconds(10);
/// A replica that has been listed this long has read the parts that many programs share.
constexpr duration warmUpTime = seconds(3);
constexpr std::size_t maxSharedParts = 4096;
/// Answers after which the times of a service are known.
constexpr int minSamples = 20;
/// All daemons together try a replica that fails requests this often; each try costs a request.
constexpr duration jointTrialInterval = milliseconds(500);
/// What was seen of a replica is told for this long.
constexpr duration reportTtl = seconds(2);
/// Where a larger part of a service's replicas fails requests, the requests are to blame.
constexpr int failingReplicaDivisor = 3;
/// Most that a replica counts as slower than its peers.
constexpr double maxSlowness = 8;

/// \returns the tokens of the prompt of \p request that the turns before it have probably sent. Its
/// last part is the session's own, which grows with each turn.
std::int64_t estimatedPreviousTokens(const placement_request &request)
{
    const std::int64_t own = request.parts.empty() ? 0 : request.parts.back().tokens;
    return std::max<std::int64_t>(0, request.promptTokens - own / (request.turnsBefore + 1));
}

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
        const bool isSame = isKnown && old->second.entry.incarnation == entry.incarnation;
        if (isKnown && !isSame)
            ended.push_back(old->second.entry);
        replica_state state;
        if (isSame) {
            state = std::move(old->second);
        } else {
            state.trust.onAnswer(now);
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

bool replica_load_balancer::isReplaced(const replica_incarnation &who) const
{
    return m_replicas.contains(who.id) && !find(who);
}

void replica_load_balancer::setLeaving(const replica_incarnation &who)
{
    if (replica_state *r = find(who))
        r->leaving = true;
}

bool replica_load_balancer::mayTake(const replica_state &r, time_point now) const
{
    if (r.leaving || r.entry.draining)
        return false;
    const auto service = m_services.find(r.entry.service);
    const bool ignoresEjection
        = r.trust.isFailing() && service != m_services.end() && service->second.failsEverywhere;
    return ignoresEjection || r.trust.mayTake(now);
}

void replica_load_balancer::updateFailsEverywhere(const std::string &service)
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return;
    const auto failing
        = std::count_if(group->second.begin(), group->second.end(), [this](const upstream_id &id) {
              return m_replicas.at(id).trust.isFailing();
          });
    m_services[service].failsEverywhere
        = failing * failingReplicaDivisor > static_cast<std::ptrdiff_t>(group->second.size());
}

int replica_load_balancer::open(std::string_view service, time_point now) const
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return 0;
    return static_cast<int>(
        std::count_if(group->second.begin(), group->second.end(),
                      [&](const upstream_id &id) { return mayTake(m_replicas.at(id), now); }));
}

int replica_load_balancer::availableSlots(std::string_view service, time_point now) const
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return 0;
    int slots = 0;
    for (const upstream_id &id : group->second) {
        const replica_state &r = m_replicas.at(id);
        if (mayTake(r, now))
            slots += r.entry.slots;
    }
    return slots;
}

int replica_load_balancer::doubted() const
{
    return static_cast<int>(
        std::count_if(m_replicas.begin(), m_replicas.end(),
                      [](const auto &item) { return item.second.trust.isDoubted(); }));
}

void replica_load_balancer::setCacheTokens(const std::string &service, std::int64_t tokens)
{
    m_services[service].cacheTokens = tokens;
}

std::int64_t replica_load_balancer::cacheTokensForDaemon(const service_state &service) const
{
    const std::int64_t all = service.cacheTokens > 0 ? service.cacheTokens : defaultCacheTokens;
    return static_cast<std::int64_t>(cacheShare * double(all) / m_daemons);
}

std::int64_t replica_load_balancer::cachedTokens(const replica_state &r,
                                                 const placement_request &request,
                                                 const service_state &service, time_point now) const
{
    std::int64_t cached = r.cache.cached(request.parts, cacheTokensForDaemon(service));
    if (r.entry.incarnation == request.lastReplica)
        cached = std::max(cached, request.lastTokens);
    if (now - r.listedAt < warmUpTime || !m_mechanisms.has(mechanism::SharedParts))
        return cached;
    // Other daemons sent the parts that many programs share.
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
    if (request.session.empty() || !m_mechanisms.has(mechanism::SessionHomes))
        return nullptr;
    const replica_state *home = nullptr;
    std::uint64_t highest = 0;
    for (const upstream_id &id : group) {
        const replica_state &r = m_replicas.at(id);
        if (!mayTake(r, now) || request.tried.contains(r.entry.incarnation))
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
    const double base = service.wait.base();
    const double load = request.promptTokens > 0
        ? tokensPerOutstanding * service.wait.perToken() * r.outstanding
        : firstByteTimesPerOutstanding * base * r.outstanding / r.entry.slots;
    // Beyond its slots a request waits for others to end.
    const int waiting = std::max(0, r.outstanding + 1 - r.entry.slots);
    const double queue = base * waiting;
    const bool isFar = r.entry.dataCentre != m_here;
    const double sum = service.wait.expected(unread) + load + queue;
    // While the engine reads a prompt, all that it works on stands still.
    const double crowd = m_mechanisms.has(mechanism::CrowdedReads)
        ? prefillInterference * outstandingPerReplica(service)
        : 0;
    const double held = crowd * service.wait.perToken() * unread;
    return r.slowness * (sum + held) * jitter(m_random) + (isFar ? otherDataCentreMs : 0);
}

void replica_load_balancer::recordPartUses(service_state &service,
                                           const std::vector<prompt_part> &parts, time_point now)
{
    if (service.shared.size() > maxSharedParts) {
        std::erase_if(service.shared,
                      [now](const auto &item) { return now - item.second.usedAt > sharedPartTtl; });
    }
    for (const prompt_part &part : parts) {
        shared_part &s = service.shared[part.id];
        s.uses = now - s.usedAt > sharedPartTtl ? 1 : s.uses + 1;
        s.usedAt = now;
    }
}

std::optional<placement> replica_load_balancer::choose(const placement_request &request,
                                                       time_point now)
{
    const auto group = m_byService.find(request.service);
    if (group == m_byService.end())
        return std::nullopt;
    const service_state &service = m_services[request.service];
    const replica_state *const home = sessionHome(group->second, request, now);
    std::optional<placement> best;
    std::optional<placement> bestDoubted;
    int candidates = 0;
    for (const upstream_id &id : group->second) {
        const replica_state &r = m_replicas.at(id);
        if (r.leaving || r.entry.draining || request.tried.contains(r.entry.incarnation))
            continue;
        std::int64_t cached = cachedTokens(r, request, service, now);
        if (&r == home)
            cached = std::max(cached, estimatedPreviousTokens(request));
        double c = cost(r, request, cached, service);
        // The session's next turn goes to its home, where it would have to be read once more.
        if (home && &r != home)
            c += service.wait.perToken() * double(request.promptTokens - cached);
        // The replica that handled an object lately is the one with the highest hash of both.
        if (!request.affinityKey.empty() && r.outstanding < r.entry.slots)
            c *= 1 - 0.5 * double(stableHash(request.affinityKey + id.value) % 1000) / 1000;
        const placement p{r.entry, r.outstanding, cached, c, 0};
        if (!mayTake(r, now)) {
            if (!bestDoubted || c < bestDoubted->cost)
                bestDoubted = p;
            continue;
        }
        ++candidates;
        if (!best || c < best->cost)
            best = p;
    }
    // When all are doubted, the doubt is more likely wrong, or there is nothing to lose.
    std::optional<placement> chosen = best ? best : bestDoubted;
    if (chosen)
        chosen->candidates = candidates;
    return chosen;
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
    r.trust.onSent(now);
    service_state &service = m_services[request.service];
    r.cache.use(request.parts, cacheTokensForDaemon(service));
    recordPartUses(service, request.parts, now);
}

void replica_load_balancer::onFirstByte(const placement &p, const placement_request &request,
                                        duration waited, time_point now)
{
    replica_state *const found = find(p.replica.incarnation);
    if (!found)
        return;
    replica_state &r = *found;
    r.trust.onAnswer(now);
    service_state &service = m_services[request.service];
    const double ms = std::chrono::duration<double, std::milli>(waited).count();
    const double unread = double(std::max<std::int64_t>(0, request.promptTokens - p.cachedTokens));
    const double expected = service.wait.expected(unread);
    const bool isKnown = service.wait.samples() >= minSamples;
    service.wait.add(unread, ms);
    if (!isKnown || !m_mechanisms.has(mechanism::LearnedSlowness))
        return;
    constexpr double slownessWeight = 0.1;
    const double slowness = std::clamp(ms / expected, 0.5, maxSlowness);
    r.slowness += slownessWeight * (slowness - r.slowness);
}

void replica_load_balancer::onHeard(const replica_incarnation &who, time_point now)
{
    if (replica_state *r = find(who))
        r->trust.onAnswer(now);
}

void replica_load_balancer::onDone(const placement &p, send_outcome end, time_point now)
{
    replica_state *const found = find(p.replica.incarnation);
    if (!found)
        return;
    replica_state &r = *found;
    const bool wasDoubted = r.trust.isDoubted();
    r.outstanding = std::max(0, r.outstanding - 1);
    service_state &service = m_services[r.entry.service];
    service.outstanding = std::max(0, service.outstanding - 1);
    const bool wasFailing = r.trust.isFailing();
    recordOutcome(r, end, now);
    if (r.trust.isFailing() != wasFailing)
        updateFailsEverywhere(r.entry.service);
    if (r.trust.isDoubted() == wasDoubted)
        return;
    logDecision(wasDoubted ? log_event::ReplicaTrusted : log_event::ReplicaDoubted,
                {{"replica", p.replica.incarnation.id.value},
                 {"end", std::string(toName(end))},
                 {"silent_ms", toMilliseconds(now - r.trust.lastReceivedAt())},
                 {"outstanding", std::int64_t(r.outstanding)}});
}

duration replica_load_balancer::trialDelay()
{
    // From 0 on, so that some daemon tries soon however many there are.
    std::uniform_real_distribution<double> chance(0, 2);
    return std::chrono::duration_cast<duration>(jointTrialInterval
                                                * (m_daemons * chance(m_random)));
}

replica_reports replica_load_balancer::tell(time_point now) const
{
    replica_reports words;
    for (const auto &[id, r] : m_replicas) {
        if (words.size() >= maxReplicaReports)
            break;
        const auto failedAt = r.trust.failedAt();
        const auto recoveredAt = r.trust.recoveredAt();
        if (failedAt && now - *failedAt < reportTtl)
            words.emplace(id, replica_report::Fails);
        else if (recoveredAt && now - *recoveredAt < reportTtl)
            words.emplace(id, replica_report::Answers);
    }
    return words;
}

void replica_load_balancer::hear(const std::vector<replica_reports> &heard, time_point now)
{
    std::map<upstream_id, int> failing;
    std::set<upstream_id> answering;
    for (const replica_reports &words : heard) {
        for (const auto &[id, word] : words) {
            if (word == replica_report::Fails)
                ++failing[id];
            else
                answering.insert(id);
        }
    }
    for (const auto &[id, others] : failing) {
        const auto found = m_replicas.find(id);
        if (found != m_replicas.end() && !answering.contains(id))
            found->second.trust.onOthersReportFailing(others, now, trialDelay());
    }
    for (const upstream_id &id : answering) {
        const auto found = m_replicas.find(id);
        if (found != m_replicas.end() && !failing.contains(id))
            found->second.trust.onOthersReportRecovered(now);
    }
    for (const auto &[service, group] : m_byService)
        updateFailsEverywhere(service);
}

void replica_load_balancer::recordOutcome(replica_state &r, send_outcome end, time_point now)
{
    switch (end) {
    case send_outcome::Answered:
    case send_outcome::NotRun:
        r.trust.onAnswer(now);
        break;
    case send_outcome::Failed:
        r.trust.onFailed(now, trialDelay());
        break;
    case send_outcome::Broken:
        r.trust.onBroken(now);
        break;
    case send_outcome::Silent:
    case send_outcome::Unreachable:
        r.trust.onUnreachable(now);
        r.cache.clear();
        break;
    case send_outcome::Cancelled:
        break;
    }
}

time_point replica_load_balancer::lastReceivedAt(const replica_incarnation &who) const
{
    const replica_state *const r = find(who);
    return r ? r->trust.lastReceivedAt() : time_point();
}

std::optional<duration> replica_load_balancer::typicalFirstByteTime(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.wait.samples() < minSamples)
        return std::nullopt;
    const first_byte_time_estimator &w = found->second.wait;
    constexpr double deviations = 4;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(w.base() + deviations * w.deviation()));
}

} // namespace azurehill
