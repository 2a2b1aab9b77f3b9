#include "daemon/control.h"

#include <algorithm>

namespace azurehill {

tl::expected<upstream_place, refusal> control::openPlainService(const std::string &service)
{
    const auto rules = m_config->services.find(service);
    if (rules == m_config->services.end() || rules->second.kind != service_kind::Plain)
        return tl::unexpected(refusal{refusal_reason::NoUpstream, "unknown service", std::nullopt});
    pending_call call;
    call.number = ++m_lastCall;
    call.service = service;
    m_scheduler.submit(std::move(call), runtime_clock::now());
    const auto placed = takePlacement(m_lastCall);
    if (!placed) {
        m_scheduler.cancel(m_lastCall, runtime_clock::now());
        return tl::unexpected(
            refusal{refusal_reason::NoUpstream, "no upstream of " + service, seconds(1)});
    }
    return placeOf(m_lastCall, *placed, service);
}

void control::closeUpstream(call_number number)
{
    m_scheduler.onEnd(number, {}, runtime_clock::now());
    performScheduled();
}

std::optional<refusal> control::checkQuarantine(const request_fingerprint &request) const
{
    return m_quarantine.check(request, runtime_clock::now());
}

void control::onPlainSendEnded(const request_fingerprint &request, const upstream_place &place,
                               std::optional<send_loss> loss)
{
    m_quarantine.onEnded(request, place.id, toText(place.address), loss, runtime_clock::now());
}

std::optional<upstream_place> control::moveCall(const std::string &service, call_number number)
{
    // Every try is an effect of its own: the lease may have lapsed while the first one failed.
    if (!m_config || !m_membership.isActive(runtime_clock::now())
        || !m_config->services.contains(service))
        return std::nullopt;
    const auto other = m_scheduler.reroute(number, runtime_clock::now());
    if (!other)
        return std::nullopt;
    return placeOf(number, *other, service);
}

upstream_place control::placeOf(call_number number, const upstream_id &id,
                                const std::string &service) const
{
    // Addresses are checked when the host list is read.
    const endpoint address = *parseEndpoint(m_scheduler.findReplica(id)->address);
    return {number, id, address, m_config->services.at(service)};
}

std::optional<upstream_id> control::takePlacement(call_number number)
{
    const auto wait = std::make_shared<placement_wait>();
    m_placementWaits[number] = wait;
    performScheduled();
    m_placementWaits.erase(number);
    if (!wait->answer || !*wait->answer)
        return std::nullopt;
    return (*wait->answer)->replica;
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
