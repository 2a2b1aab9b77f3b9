#include "replicas/replica_board.h"

#include <algorithm>
#include <cmath>

namespace azurehill {

namespace {

/// Weight of a new sample in an average.
constexpr double sampleWeight = 0.05;
/// Milliseconds that a request costs more for each other one that is under way there. A batch gets
/// slower by a step's share for each member; small against a prompt that is read again.
constexpr double msPerOutstanding = 4;
/// Milliseconds charged for another data centre: the way there and back, and bytes that are priced.
constexpr double msForDistance = 6;
/// Costs are drawn this far apart, so that daemons that know the same don't all choose alike.
constexpr double costJitter = 0.05;
/// Parts of prompts remembered for each replica.
constexpr std::size_t maxParts = 4096;
/// Most that a replica counts as slower than its peers.
constexpr double maxSlowness = 8;

} // namespace

replica_board::replica_board(data_centre_id here, std::uint64_t seed)
    : m_here(std::move(here)), m_random(seed)
{ }

void replica_board::setReplicas(const std::vector<replica_entry> &listed, time_point now)
{
    std::unordered_map<upstream_id, replica_state> next;
    m_byService.clear();
    for (const replica_entry &entry : listed) {
        const auto old = m_replicas.find(entry.id);
        replica_state state;
        if (old != m_replicas.end())
            state = std::move(old->second);
        else
            state.trust.onAnswer(now);
        // A replica never comes back from draining; an older entry may be read again.
        const bool wasDraining = state.entry.draining;
        state.entry = entry;
        state.entry.draining = entry.draining || wasDraining;
        m_byService[entry.service].push_back(entry.id);
        next.emplace(entry.id, std::move(state));
    }
    m_replicas = std::move(next);
}

void replica_board::setLeaving(const upstream_id &id)
{
    if (const auto found = m_replicas.find(id); found != m_replicas.end())
        found->second.leaving = true;
}

bool replica_board::mayTake(const replica_state &r, time_point now) const
{
    return !r.leaving && !r.entry.draining && r.trust.mayTake(now);
}

int replica_board::open(std::string_view service, time_point now) const
{
    const auto group = m_byService.find(service);
    if (group == m_byService.end())
        return 0;
    return static_cast<int>(
        std::count_if(group->second.begin(), group->second.end(),
                      [&](const upstream_id &id) { return mayTake(m_replicas.at(id), now); }));
}

std::int64_t replica_board::cachedTokens(const replica_state &r,
                                         const placement_request &request) const
{
    std::int64_t cached = 0;
    for (const prompt_part &part : request.parts) {
        if (!r.parts.contains(part.id))
            break;
        cached += part.tokens;
    }
    if (r.entry.id == request.lastReplica)
        cached = std::max(cached, request.lastTokens);
    return cached;
}

double replica_board::cost(const replica_state &r, const placement_request &request,
                           std::int64_t cached, const service_state &service)
{
    std::uniform_real_distribution<double> jitter(1, 1 + costJitter);
    const double reading
        = double(std::max<std::int64_t>(0, request.promptTokens - cached)) * service.msPerToken;
    const bool isFar = r.entry.dataCentre != m_here;
    // Beyond its slots a request waits for others to end.
    const int waiting = std::max(0, r.outstanding + 1 - r.entry.slots);
    const double queue = double(waiting) * service.waitMs / r.entry.slots;
    const double load = request.parts.empty()
        ? service.waitMs * r.outstanding / r.entry.slots
        : msPerOutstanding * r.outstanding;
    const double base = service.waitMs + reading + load + queue;
    return r.slowness * base * jitter(m_random) + (isFar ? msForDistance : 0);
}

std::optional<placement> replica_board::choose(const placement_request &request, time_point now)
{
    const auto group = m_byService.find(request.service);
    if (group == m_byService.end())
        return std::nullopt;
    const service_state &service = m_services[request.service];
    std::optional<placement> best;
    std::optional<placement> bestDoubted;
    int candidates = 0;
    for (const upstream_id &id : group->second) {
        const replica_state &r = m_replicas.at(id);
        if (r.leaving || r.entry.draining || request.tried.contains(id))
            continue;
        const std::int64_t cached = cachedTokens(r, request);
        double c = cost(r, request, cached, service);
        // The replica that handled an object lately is the one with the highest hash of both.
        if (!request.affinityKey.empty() && r.outstanding < r.entry.slots)
            c *= 1 - 0.5 * double(stableHash(request.affinityKey + id.value) % 1000) / 1000;
        const placement p{r.entry, r.outstanding, cached, c, 0};
        if (!r.trust.mayTake(now)) {
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

void replica_board::onSent(const placement &p, const placement_request &request, time_point now)
{
    const auto found = m_replicas.find(p.replica.id);
    if (found == m_replicas.end())
        return;
    replica_state &r = found->second;
    ++r.outstanding;
    r.trust.onSent(now);
    if (r.parts.size() + request.parts.size() > maxParts)
        r.parts.clear();
    for (const prompt_part &part : request.parts)
        r.parts[part.id] = now;
}

void replica_board::onFirstByte(const placement &p, const placement_request &request,
                                duration waited, time_point now)
{
    const auto found = m_replicas.find(p.replica.id);
    if (found == m_replicas.end())
        return;
    replica_state &r = found->second;
    r.trust.onAnswer(now);
    service_state &s = m_services[request.service];
    const double ms = std::chrono::duration<double, std::milli>(waited).count();
    const double reading
        = double(std::max<std::int64_t>(0, request.promptTokens - p.cachedTokens)) * s.msPerToken;
    const double plain = std::max(0.1, ms - reading);
    const double weight = std::max(sampleWeight, 1.0 / (1 + s.samples));
    ++s.samples;
    s.deviationMs += weight * (std::abs(plain - s.waitMs) - s.deviationMs);
    s.waitMs += weight * (plain - s.waitMs);
    const double slowness = std::clamp(plain / std::max(1.0, s.waitMs), 0.2, maxSlowness);
    constexpr double slownessWeight = 0.15;
    r.slowness += slownessWeight * (slowness - r.slowness);
}

void replica_board::onHeard(const upstream_id &id, time_point now)
{
    if (const auto found = m_replicas.find(id); found != m_replicas.end())
        found->second.trust.onAnswer(now);
}

void replica_board::onDone(const placement &p, send_end end, time_point now)
{
    const auto found = m_replicas.find(p.replica.id);
    if (found == m_replicas.end())
        return;
    replica_state &r = found->second;
    r.outstanding = std::max(0, r.outstanding - 1);
    switch (end) {
    case send_end::Answered:
    case send_end::NotRun:
        r.trust.onAnswer(now);
        break;
    case send_end::Broken:
        r.trust.onBroken(now);
        break;
    case send_end::Silent:
    case send_end::Unreachable:
        r.trust.onUnreachable(now);
        r.parts.clear();
        break;
    case send_end::Cancelled:
        break;
    }
}

time_point replica_board::lastHeard(const upstream_id &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? time_point() : found->second.trust.lastHeard();
}

std::optional<duration> replica_board::typicalWait(std::string_view service) const
{
    constexpr int enoughSamples = 20;
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.samples < enoughSamples)
        return std::nullopt;
    const service_state &s = found->second;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(s.waitMs + 4 * s.deviationMs));
}

} // namespace azurehill
