#include "core/log.h"
#include "daemon/control.h"
#include "daemon/problems.h"

#include <algorithm>
#include <array>

namespace azurehill {

namespace {

constexpr duration retrySoon = seconds(1);
/// Requests of one program that may wait for the call before them.
constexpr int maxTurnWaits = 8;
/// Bound on the search for a name of its own: a joining or draining daemon owns none.
constexpr int rootNameTries = 10'000;

refusal makeRefusal(refusal_reason reason, std::string detail,
                    std::optional<duration> retryAfter = std::nullopt)
{
    return {reason, std::move(detail), retryAfter};
}

refusal commitRefusal(commit_result result)
{
    if (result == commit_result::Refused) {
        return makeRefusal(refusal_reason::StoreUnavailable, "the store is down or too slow",
                           retrySoon);
    }
    return makeRefusal(refusal_reason::NotOwner, "ownership moved", retrySoon);
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

/// \returns the identity of \p call over its attempts.
request_fingerprint identify(const call_request &call)
{
    const std::string turn = std::to_string(call.turn);
    return fingerprintOf(std::array<std::string_view, 3>{call.program.value, turn, call.key});
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
        && acceptsPrograms(*me) && m_loadedView == m_membership.view().number;
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
    const std::set<daemon_id> suspects = m_heartbeats.suspects();
    std::vector<member> result;
    std::vector<member> suspected;
    for (const member *m : preferenceOrder(m_membership.view(), id.value_or(any))) {
        // A drain shows here before the view has it.
        if (m_draining && m->daemon == m_membership.self().daemon)
            continue;
        (suspects.count(m->daemon) > 0U ? suspected : result).push_back(*m);
    }
    // Suspicion of all others says more of this daemon's own network than of theirs.
    return result.empty() ? suspected : result;
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
    if (!owns(id) || !m_history.ownedSince(id, m_loadedView) || m_dropped.count(rootOf(id)) > 0)
        return movesNow();
    return std::nullopt;
}

awaitable<tl::expected<program_id, refusal>> control::createProgram(create_request request)
{
    if (!m_config || !isReady())
        co_return tl::unexpected(makeRefusal(refusal_reason::Draining, "not ready", retrySoon));
    // A new program is work that a preset decides, so one must certainly be in force.
    if (const auto decided = presetInForce(); !decided) {
        co_return tl::unexpected(makeRefusal(
            refusal_reason::StoreUnavailable,
            "no preset is certainly in force: " + std::string(toName(decided.error())), retrySoon));
    }
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
    created.parent = request.parent;
    if (const auto may = m_book.checkCreation(created, unixMilliseconds()); !may)
        co_return tl::unexpected(may.error());
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
    created.maxTurns = classRules->second.maxTurns;
    created.idleMs = toMilliseconds(classRules->second.idleTimeout);

    const program_id id = created.program;
    // A sub-agent belongs to a program under way, so it has its room.
    if (const auto later = created.parent.empty() ? refuseProgram(created) : std::nullopt) {
        co_return tl::unexpected(
            makeRefusal(refusal_reason::Overloaded, "no room for a new program", later));
    }
    m_book.apply(created);
    m_scheduler.startProgram(makeProgramRequest(*m_book.find(id)), runtime_clock::now());
    const journal_record record = created;
    const commit_result result = co_await commit(record, commit_policy::Refusable);
    if (result == commit_result::Durable)
        co_return id;
    m_book.erase(id);
    co_return tl::unexpected(commitRefusal(result));
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
    const journal_record record = ended;
    const commit_result result = co_await commit(record, commit_policy::MustCommit);
    if (result == commit_result::Durable) {
        measureEnd(id);
        co_return tl::expected<void, refusal>();
    }
    if (const program *now = m_book.find(id); now && now->ended)
        dropFamily(id);
    co_return tl::unexpected(commitRefusal(result));
}

awaitable<tl::expected<call_start, refusal>> control::startCall(call_spec spec)
{
    while (true) {
        if (const auto why = whyNotServing(spec.request.program))
            co_return tl::unexpected(*why);
        // A call of the program may be waiting for its replica: it begins, or not, before this one.
        if (const auto placing = m_placing.find(spec.request.program); placing != m_placing.end()) {
            const auto placed = placing->second;
            co_await placed->waitForChangeSince(0);
            continue;
        }
        const auto decision = m_book.decide(spec.request, unixMilliseconds());
        if (!decision) {
            // Failure: until this daemon reads the next view it may take itself for the owner of a
            // program that another has just made, and say that a call did not run which runs there.
            co_await refreshView();
            const auto why = whyNotServing(spec.request.program);
            if (why)
                co_return tl::unexpected(*why);
            co_return tl::unexpected(decision.error());
        }
        const auto *begin = std::get_if<begin_call>(&*decision);
        if (begin && !mayBegin(spec.request.program))
            co_return tl::unexpected(movesNow());
        if (begin) {
            const auto why = m_quarantine.check(identify(spec.request), runtime_clock::now());
            if (why)
                co_return tl::unexpected(*why);
        }
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
        // The call before this one is still under way; it ends within its service's limit.
        const auto before = stream->second;
        int &waits = m_turnWaits[spec.request.program];
        if (waits >= maxTurnWaits) {
            co_return tl::unexpected(
                makeRefusal(refusal_reason::Overloaded, "too many wait for the turn", retrySoon));
        }
        ++waits;
        co_await before->waitForEnd();
        if (--m_turnWaits[spec.request.program] == 0)
            m_turnWaits.erase(spec.request.program);
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
            decision ? makeRefusal(refusal_reason::NotOwner, "another call was faster", retrySoon)
                     : decision.error());
    }
    record = std::get<begin_call>(*decision).record;
    const auto target = m_scheduler.findReplica(placement->replica);
    const auto rules = m_config->services.find(spec.service);
    if (!target || rules == m_config->services.end()) {
        m_scheduler.cancel(placement->number, runtime_clock::now());
        co_return tl::unexpected(
            makeRefusal(refusal_reason::NoUpstream, "no upstream of " + spec.service, retrySoon));
    }
    record = std::get<begin_call>(*decision).record;
    running_call call;
    const program &p = *m_book.find(record.program);
    call.history = p.history;
    call.programClass = p.programClass;
    call.heldTokens = heldTokens(record.program);
    call.upstream = *parseEndpoint(target->address);
    call.placement = *placement;
    call.limits = rules->second;
    call.stream = std::make_shared<call_stream>(randomHex(6));
    call.spec = std::move(spec);
    call.spec.request.reserveTokens = record.reservedTokens;

    if (record.kind == call_kind::Model)
        record.engine = call.placement.replica;
    m_book.apply(record);
    m_streams[record.program] = call.stream;
    const journal_record begun = record;
    const commit_result result = co_await commit(begun, commit_policy::Refusable);
    // The commit may have taken long: look at ownership and the lease again, immediately before the
    // effect.
    const auto stream = call.stream;
    if (result != commit_result::Durable || !isRunning(call)
        || !m_membership.isActive(runtime_clock::now())) {
        m_scheduler.cancel(call.placement.number, runtime_clock::now());
        abandonCall(call, result);
        const refusal why = commitRefusal(result);
        stream->finish(toProblem(why));
        co_return tl::unexpected(why);
    }
    m_runCall(std::move(call));
    co_return call_start(stream);
}

bool control::isRunning(const running_call &call) const
{
    const auto it = m_streams.find(call.spec.request.program);
    return it != m_streams.end() && it->second == call.stream;
}

void control::abandonCall(const running_call &call, commit_result begun)
{
    const call_request &r = call.spec.request;
    // A view that took the program away has dropped it already.
    if (!isRunning(call))
        return;
    if (begun == commit_result::Lost) {
        dropFamily(r.program);
        return;
    }
    // The call was not sent and never will be. Its begin record, if there is one, needs an end, or
    // the turn would stay open for ever.
    const call_failed end{r.program, r.turn, r.key, outcome::DidNotRun, 0};
    m_streams.erase(r.program);
    m_book.apply(end);
    if (begun == commit_result::Refused)
        return;
    std::vector<journal_record> records(1, journal_record(end));
    m_batcher.append(std::move(records), commit_policy::MustCommit, runtime_clock::now());
    m_commitTimer.cancel();
}

awaitable<bool> control::finishCall(running_call call, journal_record end)
{
    if (call.loss || std::holds_alternative<call_finished>(end)) {
        m_quarantine.onEnded(identify(call.spec.request), call.placement.replica,
                             toText(call.upstream), call.loss, runtime_clock::now());
    }
    m_scheduler.onEnd(call.placement.number, makeCallResult(call, end), runtime_clock::now());
    performScheduled();
    // Failure: the program went to another daemon and came back while the call ran. That daemon has
    // settled the call as unknown, so an end written now would stand in the history twice.
    if (!isRunning(call))
        co_return false;
    const call_request &r = call.spec.request;
    if (auto *finished = std::get_if<call_finished>(&end);
        finished && r.kind == call_kind::Model && finished->spentTokens <= 0)
        finished->spentTokens = r.reserveTokens;
    // The call may have moved to another engine before it ran.
    if (auto *finished = std::get_if<call_finished>(&end); finished && r.kind == call_kind::Model)
        finished->engine = call.placement.replica;
    const commit_result result = co_await commit(end, commit_policy::MustCommit);
    if (!isRunning(call))
        co_return result == commit_result::Durable;
    if (result == commit_result::Durable)
        m_book.apply(end);
    else if (result == commit_result::Refused)
        co_await closeTooLarge(call);
    else
        dropFamily(r.program);
    if (isRunning(call))
        m_streams.erase(r.program);
    co_return result == commit_result::Durable;
}

awaitable<void> control::closeTooLarge(running_call call)
{
    // The answer is too large to be kept, so the caller is told that the call ran.
    const call_request &r = call.spec.request;
    const journal_record end = call_failed{r.program, r.turn, r.key, outcome::Ran, r.reserveTokens};
    const commit_result result = co_await commit(end, commit_policy::MustCommit);
    if (result == commit_result::Durable && isRunning(call))
        m_book.apply(end);
    else if (result != commit_result::Durable)
        dropFamily(r.program);
}

} // namespace azurehill
