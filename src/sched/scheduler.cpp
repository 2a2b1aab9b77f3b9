#include "sched/scheduler.h"

#include <algorithm>
#include <utility>

namespace azurehill {

namespace {

/// Calls looked at when room comes free. Those behind them wait for the next time.
constexpr int maxQueueScan = 32;
constexpr std::size_t loadSample = 32;
constexpr duration prefixAge = seconds(600);
constexpr duration expiryInterval = seconds(30);
constexpr double shortestEstimate = 0.2;
constexpr int minOverdueCalls = 3;
constexpr double overdueFactor = 4;

double toSeconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

scheduler::scheduler(const scheduler_parameters &knobs, data_centre_id here, std::uint64_t seed)
    : m_parameters(knobs), m_table(std::move(here)), m_router(knobs, seed), m_ledger(knobs),
      m_admission(knobs, seed + 1), m_retries(knobs, seed + 2)
{ }

void scheduler::setReplicas(const std::vector<replica> &listed, time_point now)
{
    m_table.setReplicas(listed);
    pump(now);
}

void scheduler::onReport(const upstream_id &id, const load_report &report, time_point now)
{
    m_table.onReport(id, report);
    pump(now);
}

void scheduler::onCacheEvent(const upstream_id &id, const cache_event &event, time_point now)
{
    if (const replica_index index = m_table.find(id); index != noReplica)
        m_prefixes.onEvent(index, event, now);
}

double scheduler::pressure(std::string_view service) const
{
    const replica_group &group = m_table.group(service);
    const std::size_t count = group.near.size() + group.far.size();
    if (count == 0)
        return 0;
    // An even sample: a look at thousands of replicas would cost more than it tells.
    const std::size_t step = std::max<std::size_t>(1, count / loadSample);
    double calls = 0;
    std::size_t looked = 0;
    for (std::size_t i = 0; i < count; i += step, ++looked) {
        const bool isNear = i < group.near.size();
        calls += m_table.load(isNear ? group.near[i] : group.far[i - group.near.size()]).calls;
    }
    const double perReplica = calls / double(looked) + double(m_queue.size()) / double(count);
    return perReplica / m_parameters.slotsPerReplica;
}

std::optional<duration> scheduler::refuseProgram(const program_request &request, time_point now)
{
    const admission_state view{pressure(request.service), m_ledger.excess(request.tenant, now),
                               m_ledger.programs(request.tenant)};
    return m_admission.refuse(request, view);
}

void scheduler::startProgram(const program_request &request, time_point now)
{
    if (m_programs.try_emplace(request.program, known_program{request.programClass, now}).second)
        m_ledger.startProgram(request.program, request.tenant, request.weight);
}

void scheduler::endProgram(const program_id &id, time_point now)
{
    const auto it = m_programs.find(id);
    if (it == m_programs.end())
        return;
    m_admission.onProgramEnd(it->second.programClass, now - it->second.startedAt);
    m_programs.erase(it);
    m_ledger.endProgram(id);
    const prefix_key prefix = stableHash(id.value);
    for (const replica_index index : m_prefixes.release(prefix))
        m_actions.emplace_back(release_prefix{m_table.at(index).id, prefix});
}

double scheduler::queueOrder(const pending_call &call, time_point now) const
{
    const double service = m_ledger.attained(call.program) / call.weight;
    return toSeconds(now.time_since_epoch()) + m_parameters.delayPerServiceSecond * service;
}

void scheduler::submit(pending_call call, time_point now)
{
    m_retries.onCall();
    const double order = queueOrder(call, now);
    if (m_queue.empty() && place(call, order, now))
        return;
    m_queue.add(order, std::move(call));
    pump(now);
}

void scheduler::cancel(call_number number, time_point now)
{
    if (m_queue.remove(number))
        return;
    const auto it = m_sent.find(number);
    if (it == m_sent.end())
        return;
    const sent_call &sent = it->second;
    m_table.onDone(sent.where.replica, sent.call.promptTokens, sent.where.prefillTokens, sent.at,
                   now);
    m_prefixes.drop(stableHash(sent.call.program.value), sent.where.replica);
    m_sent.erase(it);
    pump(now);
}

std::optional<upstream_id> scheduler::move(call_number number, time_point now)
{
    const auto it = m_sent.find(number);
    if (it == m_sent.end())
        return std::nullopt;
    sent_call &sent = it->second;
    const replica_index from = sent.where.replica;
    const auto where = m_router.choose(sent.call, m_ledger.expectedOutput(sent.call.program),
                                       m_table, m_prefixes, m_health, now, from);
    if (!where || !m_retries.take(outcome::DidNotRun, true, sent.attempts))
        return std::nullopt;
    m_table.onDone(from, sent.call.promptTokens, sent.where.prefillTokens, sent.at, now);
    m_health.onFailure(from, now);
    m_prefixes.drop(stableHash(sent.call.program.value), from);
    m_table.onSent(where->replica, sent.call.promptTokens, where->prefillTokens, now);
    m_health.onSent(where->replica, now);
    sent.where = *where;
    sent.at = now;
    ++sent.attempts;
    return m_table.at(where->replica).id;
}

std::optional<replica> scheduler::findReplica(const upstream_id &id) const
{
    const replica_index index = m_table.find(id);
    return index == noReplica ? std::nullopt : std::optional(m_table.at(index));
}

void scheduler::setParameters(const scheduler_parameters &knobs)
{
    m_parameters = knobs;
    m_router.setParameters(knobs);
    m_ledger.setParameters(knobs);
    m_admission.setParameters(knobs);
    m_retries.setShare(knobs.retryRatio);
}

void scheduler::retainPrograms(const std::function<bool(const program_id &)> &isUnderWay,
                               time_point now)
{
    std::vector<program_id> ended;
    for (const auto &[id, known] : m_programs) {
        if (!isUnderWay(id))
            ended.push_back(id);
    }
    for (const program_id &id : ended)
        endProgram(id, now);
}

bool scheduler::hasRoom(const pending_call &call, replica_index index) const
{
    const int most = m_parameters.slotsPerReplica + m_parameters.maxEngineQueue;
    const std::int64_t own = m_table.ownTokens(index);
    const bool fits = own == 0 || own + call.promptTokens <= m_parameters.tokensInFlightPerReplica;
    return fits && m_table.load(index).calls < most;
}

bool scheduler::place(const pending_call &call, double order, time_point now)
{
    const replica_group &group = m_table.group(call.service);
    if (group.near.empty() && group.far.empty()) {
        m_actions.emplace_back(refuse_call{call.number, refusal_reason::NoUpstream, seconds(1)});
        return true;
    }
    if (call.deadline && now >= *call.deadline) {
        m_actions.emplace_back(
            refuse_call{call.number, refusal_reason::DeadlinePassed, duration::zero()});
        return true;
    }
    const auto where = m_router.choose(call, m_ledger.expectedOutput(call.program), m_table,
                                       m_prefixes, m_health, now, m_table.find(call.avoided));
    if (!where || !hasRoom(call, where->replica))
        return false;
    m_table.onSent(where->replica, call.promptTokens, where->prefillTokens, now);
    m_health.onSent(where->replica, now);
    m_prefixes.set(stableHash(call.program.value), where->replica, call.promptTokens, now);
    if (call.sharedPrefix != 0)
        m_prefixes.set(call.sharedPrefix, where->replica, call.sharedTokens, now);
    m_sent.emplace(call.number, sent_call{call, *where, now, 1});
    m_actions.emplace_back(dispatch_call{call.number, m_table.at(where->replica).id,
                                         static_cast<std::int64_t>(order * 1000)});
    return true;
}

void scheduler::pump(time_point now)
{
    int looked = 0;
    for (auto it = m_queue.begin(); it != m_queue.end() && looked < maxQueueScan; ++looked)
        it = place(it->second, it->first.first, now) ? m_queue.erase(it) : std::next(it);
}

void scheduler::onEnd(call_number number, const call_result &end, time_point now)
{
    const auto it = m_sent.find(number);
    if (it == m_sent.end())
        return;
    const sent_call sent = std::move(it->second);
    m_sent.erase(it);
    const replica_index index = sent.where.replica;
    const prefix_key prefix = stableHash(sent.call.program.value);
    m_table.onDone(index, sent.call.promptTokens, sent.where.prefillTokens, sent.at, now);
    if (end.refusedAsLeaving)
        m_table.setLeaving(index);
    if (end.failed) {
        // A refusal for leaving is no fault of the replica's.
        if (!end.refusedAsLeaving)
            m_health.onFailure(index, now);
        m_prefixes.drop(prefix, index);
    } else {
        const double took = toSeconds(now - sent.at);
        m_health.onSuccess(index, took / std::max(sent.where.seconds, shortestEstimate), now);
        const std::int64_t prefill = end.cachedTokens ? sent.call.promptTokens - *end.cachedTokens
                                                      : sent.where.prefillTokens;
        m_ledger.charge(sent.call, prefill, end.outputTokens, now);
        m_prefixes.set(prefix, index, sent.call.promptTokens + end.outputTokens, now);
    }
    pump(now);
}

std::optional<duration> scheduler::retryAfter(outcome ended, bool idempotent, int attempt)
{
    return m_retries.take(ended, idempotent, attempt);
}

void scheduler::ejectOverdue(time_point now)
{
    // A replica that became slow shows it at the ends of its calls, far too late. Several calls
    // that should have ended long ago show it at once; a single one may just have a long answer.
    std::unordered_map<replica_index, std::pair<int, double>> overdue;
    for (const auto &[number, sent] : m_sent) {
        const double slowness
            = toSeconds(now - sent.at) / std::max(sent.where.seconds, shortestEstimate);
        if (slowness < overdueFactor)
            continue;
        auto &[calls, least] = overdue[sent.where.replica];
        least = calls == 0 ? slowness : std::min(least, slowness);
        ++calls;
    }
    for (const auto &[index, found] : overdue) {
        if (found.first >= minOverdueCalls)
            m_health.onOverdue(index, found.second, now);
    }
}

void scheduler::onTick(time_point now)
{
    ejectOverdue(now);
    if (now - m_expiredAt >= expiryInterval) {
        m_prefixes.expire(prefixAge, now);
        m_expiredAt = now;
    }
    pump(now);
}

std::vector<sched_action> scheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace azurehill
