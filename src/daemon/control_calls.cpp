#include "core/log.h"
#include "daemon/control.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr duration retrySoon = seconds(1);
/// Bound on the search for a name of its own: a joining or draining daemon owns none.
constexpr int rootNameTries = 10'000;

refusal makeRefusal(refusal_reason reason, std::string detail,
                    std::optional<duration> retryAfter = std::nullopt)
{
    return {reason, std::move(detail), retryAfter};
}

call_result makeCallResult(const running_call &call, const journal_record &end)
{
    call_result result;
    if (const auto *failed = std::get_if<call_failed>(&end))
        result.failed = failed->ran;
    if (const auto *finished = std::get_if<call_finished>(&end)) {
        const std::int64_t output = finished->spentTokens - call.placement.promptTokens;
        result.outputTokens = std::max<std::int64_t>(output, 0);
    }
    return result;
}

refusal movesNow()
{
    return makeRefusal(refusal_reason::NotOwner, "the program moves now", retrySoon);
}

} // namespace

bool control::owns(const program_id &id) const
{
    const member *owner = ownerOf(m_membership.view(), id);
    return owner && owner->daemon == m_membership.self().daemon
        && owner->incarnation == m_membership.self().incarnation;
}

bool control::isReady() const
{
    const member *me = m_membership.view().find(m_membership.self().daemon);
    return m_config && !m_draining && m_membership.isActive(runtime_clock::now())
        && takesPrograms(*me) && m_loadedView == m_membership.view().number;
}

std::optional<member> control::otherOwner(const program_id &id) const
{
    const member *owner = ownerOf(m_membership.view(), id);
    if (!owner || owner->daemon == m_membership.self().daemon)
        return std::nullopt;
    return *owner;
}

std::vector<member> control::lookUp(const std::optional<program_id> &id) const
{
    const program_id any{m_settings.name};
    std::vector<member> result;
    for (const member *m : preferenceOrder(m_membership.view(), id.value_or(any))) {
        // A drain shows here before the view has it.
        if (!m_draining || m->daemon != m_membership.self().daemon)
            result.push_back(*m);
    }
    return result;
}

std::optional<program> control::inspect(const program_id &id) const
{
    const program *p = m_book.find(id);
    return p ? std::optional(*p) : std::nullopt;
}

std::vector<program_id> control::programIds() const
{
    std::vector<program_id> ids;
    for (const auto &[id, p] : m_book.programs())
        ids.push_back(id);
    return ids;
}

std::optional<refusal> control::whyNotServing(const program_id &id) const
{
    if (!m_membership.isActive(runtime_clock::now())) {
        return makeRefusal(refusal_reason::StoreUnavailable, "the lease can't be renewed now",
                           retrySoon);
    }
    if (!owns(id) || !m_history.heldSince(id, m_loadedView))
        return movesNow();
    return std::nullopt;
}

awaitable<tl::expected<program_id, refusal>> control::createProgram(create_request request)
{
    if (!m_config || !isReady())
        co_return tl::unexpected(makeRefusal(refusal_reason::Draining, "not ready", retrySoon));
    const auto config = m_config;
    const auto tenantRules = config->tenants.find(request.tenant.value);
    const auto classRules = config->classes.find(request.programClass);
    if (tenantRules == config->tenants.end() || classRules == config->classes.end())
        co_return tl::unexpected(makeRefusal(refusal_reason::UnknownProgram, "unknown class"));

    program_created created;
    created.program = makeProgramId(request.parent);
    // A root program is named so that this daemon owns it: no hop for its calls.
    for (int i = 0; i < rootNameTries && request.parent.empty() && !mayBegin(created.program); ++i)
        created.program = makeProgramId();
    if (const auto why = whyNotServing(created.program))
        co_return tl::unexpected(*why);
    if (!mayBegin(created.program))
        co_return tl::unexpected(movesNow());
    if (!request.parent.empty() && !m_book.find(request.parent))
        co_return tl::unexpected(makeRefusal(refusal_reason::UnknownProgram, "unknown parent"));
    created.parent = request.parent;
    created.tenant = request.tenant;
    created.programClass = request.programClass;
    const std::int64_t wanted
        = request.budgetTokens > 0 ? request.budgetTokens : classRules->second.budgetTokens;
    created.budgetTokens = std::min(wanted, tenantRules->second.maxBudgetTokens);
    created.createdUnixMs = unixMilliseconds();
    const std::int64_t longest = toMilliseconds(classRules->second.deadline);
    const std::int64_t limit
        = request.deadlineMs > 0 ? std::min(request.deadlineMs, longest) : longest;
    created.deadlineUnixMs = created.createdUnixMs + limit;

    const program_id id = created.program;
    // A sub-agent belongs to a program under way, so it has its room.
    if (const auto later = created.parent.empty() ? refuseProgram(created) : std::nullopt) {
        co_return tl::unexpected(
            makeRefusal(refusal_reason::Overloaded, "no room for a new program", later));
    }
    m_book.apply(created);
    m_scheduler.startProgram(makeProgramRequest(*m_book.find(id)), runtime_clock::now());
    const commit_result result
        = co_await commit(std::vector<journal_record>(1, journal_record(created)));
    if (result == commit_result::Durable)
        co_return id;
    m_book.forget(id);
    co_return tl::unexpected(makeRefusal(refusal_reason::NotOwner, "ownership moved", retrySoon));
}

awaitable<tl::expected<void, refusal>> control::endProgram(program_id id, end_reason reason)
{
    if (const auto why = whyNotServing(id))
        co_return tl::unexpected(*why);
    const program *p = m_book.find(id);
    if (!p)
        co_return tl::unexpected(makeRefusal(refusal_reason::UnknownProgram, id.value));
    if (p->ended)
        co_return tl::expected<void, refusal>();
    const program_ended ended{id, reason};
    m_book.apply(ended);
    m_scheduler.endProgram(id, runtime_clock::now());
    performScheduled();
    if (co_await commit(std::vector<journal_record>(1, journal_record(ended)))
        == commit_result::Durable) {
        measureEnd(id);
        co_return tl::expected<void, refusal>();
    }
    co_return tl::unexpected(makeRefusal(refusal_reason::NotOwner, "ownership moved", retrySoon));
}

awaitable<tl::expected<call_start, refusal>> control::startCall(call_spec spec)
{
    while (true) {
        if (const auto why = whyNotServing(spec.request.program))
            co_return tl::unexpected(*why);
        // A call of the program may be waiting for its replica: it begins, or not, before this one.
        if (const auto placing = m_placing.find(spec.request.program); placing != m_placing.end()) {
            const auto placed = placing->second;
            co_await placed->waitPast(0);
            continue;
        }
        const auto decision = m_book.decide(spec.request, unixMilliseconds());
        if (!decision)
            co_return tl::unexpected(decision.error());
        const auto *begin = std::get_if<begin_call>(&*decision);
        if (begin && !mayBegin(spec.request.program))
            co_return tl::unexpected(movesNow());
        if (begin)
            co_return co_await beginCall(std::move(spec), begin->record);
        if (const auto *replay = std::get_if<replay_answer>(&*decision))
            co_return call_start(replay->call);
        const auto stream = m_streams.find(spec.request.program);
        if (stream == m_streams.end()) {
            co_return tl::unexpected(
                makeRefusal(refusal_reason::NotOwner, "the call is being settled", retrySoon));
        }
        if (std::holds_alternative<attach_to_call>(*decision))
            co_return call_start(stream->second);
        // The call before this one is still under way.
        const auto before = stream->second;
        co_await before->waitForEnd();
    }
}

awaitable<tl::expected<call_start, refusal>> control::beginCall(call_spec spec, call_begun record)
{
    const auto placement = co_await placeCall(makePendingCall(spec));
    if (!placement)
        co_return tl::unexpected(placement.error());
    // The wait may have been long: the program may have moved or ended meanwhile.
    if (const auto why = whyNotServing(record.program)) {
        m_scheduler.cancel(placement->number, runtime_clock::now());
        co_return tl::unexpected(*why);
    }
    if (!mayBegin(record.program)) {
        m_scheduler.cancel(placement->number, runtime_clock::now());
        co_return tl::unexpected(movesNow());
    }
    const auto decision = m_book.decide(spec.request, unixMilliseconds());
    if (!decision || !std::holds_alternative<begin_call>(*decision)) {
        m_scheduler.cancel(placement->number, runtime_clock::now());
        co_return tl::unexpected(
            decision ? makeRefusal(refusal_reason::TurnOutOfOrder, "another call was faster")
                     : decision.error());
    }
    const auto target = m_scheduler.findReplica(placement->replica);
    const auto rules = m_config->services.find(spec.service);
    if (!target || rules == m_config->services.end()) {
        m_scheduler.cancel(placement->number, runtime_clock::now());
        co_return tl::unexpected(
            makeRefusal(refusal_reason::NoUpstream, "no upstream of " + spec.service, retrySoon));
    }
    running_call call;
    const program &p = *m_book.find(record.program);
    call.history = p.history;
    call.programClass = p.programClass;
    call.heldTokens = heldTokens(record.program);
    call.upstream = *parseEndpoint(target->address);
    call.placement = *placement;
    call.limits = rules->second;
    call.stream = std::make_shared<call_stream>(randomHex(6));
    call.begunUnder = m_membership.view().number;
    call.spec = std::move(spec);

    m_book.apply(record);
    m_streams[record.program] = call.stream;
    const commit_result result
        = co_await commit(std::vector<journal_record>(1, journal_record(record)));
    // The commit may have taken long: look at the lease again, immediately before the effect.
    if (result == commit_result::Lost || !m_membership.isActive(runtime_clock::now())) {
        m_scheduler.cancel(call.placement.number, runtime_clock::now());
        m_streams.erase(record.program);
        if (result == commit_result::Lost)
            m_book.forget(record.program);
        co_return tl::unexpected(
            makeRefusal(refusal_reason::NotOwner, "ownership moved", retrySoon));
    }
    const auto stream = call.stream;
    m_runCall(std::move(call));
    co_return call_start(stream);
}

awaitable<bool> control::finishCall(running_call call, journal_record end)
{
    m_scheduler.onEnd(call.placement.number, makeCallResult(call, end), runtime_clock::now());
    performScheduled();
    const program_id id = call.spec.request.program;
    if (!m_history.heldSince(id, call.begunUnder)) {
        // The program moved in between; its new owner settled this call as unknown, also when the
        // program has come back since.
        m_streams.erase(id);
        co_return false;
    }
    const commit_result result = co_await commit(std::vector<journal_record>(1, end));
    m_streams.erase(id);
    if (result == commit_result::Durable)
        m_book.apply(end);
    else
        m_book.forget(id);
    co_return result == commit_result::Durable;
}

} // namespace azurehill
