#include "daemon/control.h"

#include <algorithm>

namespace azurehill {

tl::expected<upstream_place, refusal> control::openPlainService(const std::string &service)
{
    const auto rules = m_config->services.find(service);
    if (rules == m_config->services.end() || rules->second.kind != service_kind::Plain)
        return tl::unexpected(refusal{refusal_reason::NoUpstream, "unknown service", std::nullopt});
    const replica *target = m_router.choose(service);
    const auto address = target ? parseEndpoint(target->address) : std::nullopt;
    if (!address) {
        return tl::unexpected(
            refusal{refusal_reason::NoUpstream, "no upstream of " + service, seconds(1)});
    }
    const upstream_place place{target->id, *address, rules->second};
    m_router.onSent(place.id);
    return place;
}

void control::closeUpstream(const upstream_id &id)
{
    m_router.onDone(id);
}

std::optional<upstream_place> control::moveCall(const std::string &service, const upstream_id &from)
{
    // Every try is an effect of its own: the lease may have lapsed while the first one failed.
    if (!m_config || !m_membership.isActive(runtime_clock::now()))
        return std::nullopt;
    const replica *best = nullptr;
    for (const auto &[id, r] : m_router.replicas()) {
        const bool fits = r.service == service && !r.leaving && id != from;
        if (fits && (!best || r.outstanding < best->outstanding))
            best = &r;
    }
    const auto address = best ? parseEndpoint(best->address) : std::nullopt;
    const auto rules = m_config->services.find(service);
    if (!address || rules == m_config->services.end())
        return std::nullopt;
    const upstream_place place{best->id, *address, rules->second};
    m_router.onDone(from);
    m_router.onSent(place.id);
    return place;
}

void control::setHeldTokens(const program_id &id, std::int64_t tokens)
{
    if (m_book.find(id))
        m_heldTokens[id] = tokens;
}

std::int64_t control::heldTokens(const program_id &id) const
{
    const auto held = m_heldTokens.find(id);
    return held == m_heldTokens.end() ? 0 : held->second;
}

void control::measureEnd(const program_id &id)
{
    m_heldTokens.erase(id);
    const program *p = m_book.find(id);
    if (!p)
        return;
    const auto latency
        = milliseconds(std::max<std::int64_t>(unixMilliseconds() - p->createdUnixMs, 0));
    m_metrics.onProgramEnded({p->tenant, p->programClass}, latency);
}

state_gauges control::gauges() const
{
    state_gauges g;
    g.programs = m_book.programs().size();
    g.openStreams = m_streams.size();
    g.members = m_membership.view().members.size();
    return g;
}

std::optional<tenant_id> control::tenantOf(const program_id &id) const
{
    const program *p = m_book.find(id);
    return p ? std::optional(p->tenant) : std::nullopt;
}

awaitable<tl::expected<call_start, refusal>> control::startTenantCall(call_spec spec)
{
    const auto tenant = tenantOf(spec.request.program);
    if (tenant && *tenant != spec.tenant) {
        co_return tl::unexpected(
            refusal{refusal_reason::UnknownProgram, spec.request.program.value, std::nullopt});
    }
    co_return co_await startCall(std::move(spec));
}

} // namespace azurehill
