#include "daemon/control.h"

namespace azurehill {

namespace {

constexpr duration schedulerPeriod = milliseconds(100);
constexpr std::int64_t bytesPerToken = 4;

scheduler_parameters knobsOf(const preset &p)
{
    scheduler_parameters knobs;
    knobs.tokensInFlightPerReplica = p.tokensInFlightPerReplica;
    knobs.retryRatio = p.retryPercent / 100.0;
    return knobs;
}

/// \returns the service by whose load programs are admitted: the first of the engines.
std::string engineService(const configuration &config)
{
    for (const auto &[name, s] : config.services) {
        if (s.kind == service_kind::Engine)
            return name;
    }
    return {};
}

template <class Map>
int weightIn(const Map &rules, const std::string &name)
{
    const auto it = rules.find(name);
    return it == rules.end() ? 1 : it->second.weight;
}

} // namespace

awaitable<void> control::schedulerLoop()
{
    while (true) {
        const time_point now = runtime_clock::now();
        if (m_config)
            m_scheduler.setParameters(knobsOf(m_config->active()));
        // Programs that moved away or lapsed must not count as their tenant's any longer.
        const auto isUnderWay = [this](const program_id &id) {
            const program *p = m_book.find(id);
            return p && !p->ended;
        };
        m_scheduler.retainPrograms(isUnderWay, now);
        m_scheduler.onTick(now);
        performScheduled();
        co_await sleepFor(schedulerPeriod);
    }
}

program_request control::makeProgramRequest(const program &p) const
{
    program_request request;
    request.program = p.id;
    request.tenant = p.tenant;
    request.programClass = p.programClass;
    request.service = engineService(*m_config);
    request.weight = weightIn(m_config->tenants, p.tenant.value);
    if (p.deadlineUnixMs != 0)
        request.limit = milliseconds(p.deadlineUnixMs - unixMilliseconds());
    if (const auto rules = m_config->tenants.find(p.tenant.value); rules != m_config->tenants.end())
        request.tenantLimit = rules->second.maxPrograms;
    return request;
}

std::optional<duration> control::refuseProgram(const program_created &created)
{
    program p;
    p.id = created.program;
    p.tenant = created.tenant;
    p.programClass = created.programClass;
    p.deadlineUnixMs = created.deadlineUnixMs;
    return m_scheduler.refuseProgram(makeProgramRequest(p), runtime_clock::now());
}

pending_call control::makePendingCall(const call_spec &spec)
{
    const program &p = *m_book.find(spec.request.program);
    m_scheduler.startProgram(makeProgramRequest(p), runtime_clock::now());
    pending_call call;
    call.number = ++m_lastCall;
    call.program = p.id;
    call.tenant = p.tenant;
    call.service = spec.service;
    const std::size_t bytes = p.history.size() + spec.newMessages.size() + spec.bodyFields.size();
    if (spec.request.kind == call_kind::Model)
        call.promptTokens = static_cast<std::int64_t>(bytes) / bytesPerToken;
    call.weight
        = weightIn(m_config->tenants, p.tenant.value) * weightIn(m_config->classes, p.programClass);
    if (p.deadlineUnixMs != 0) {
        call.deadline = runtime_clock::now() + milliseconds(p.deadlineUnixMs - unixMilliseconds());
    }
    return call;
}

awaitable<tl::expected<call_placement, refusal>> control::placeCall(pending_call call)
{
    const auto wait = std::make_shared<placement_wait>();
    const auto placed = std::make_shared<notifier>();
    const program_id id = call.program;
    const std::int64_t promptTokens = call.promptTokens;
    m_placementWaits[call.number] = wait;
    m_placing[id] = placed;
    m_scheduler.submit(std::move(call), runtime_clock::now());
    performScheduled();
    while (!wait->answer)
        co_await wait->changed.waitForChangeSince(wait->changed.version());
    m_placing.erase(id);
    placed->notifyAll();
    if (*wait->answer)
        (*wait->answer)->promptTokens = promptTokens;
    co_return *wait->answer;
}

void control::performScheduled()
{
    const auto settle = [this](call_number number, tl::expected<call_placement, refusal> answer) {
        const auto it = m_placementWaits.find(number);
        if (it == m_placementWaits.end())
            return;
        it->second->answer = std::move(answer);
        it->second->changed.notifyAll();
        m_placementWaits.erase(it);
    };
    for (const sched_action &action : m_scheduler.takeActions()) {
        if (const auto *d = std::get_if<dispatch_call>(&action)) {
            settle(d->number, call_placement{d->number, d->replica, d->priority, 0});
        } else if (const auto *r = std::get_if<refuse_call>(&action)) {
            settle(r->number,
                   tl::unexpected(
                       refusal{r->reason, "no replica can take the call in time", r->retryAfter}));
        }
        // Engines on the usual HTTP surface have no order to release a prefix: theirs age out.
    }
}

} // namespace azurehill
