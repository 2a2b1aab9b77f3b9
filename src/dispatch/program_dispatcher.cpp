#include "dispatch/program_dispatcher.h"

#include <algorithm>
#include <set>

namespace azurehill {

namespace {

/// Time in which a new dispatcher collects the renewals of the daemons before it grants.
constexpr duration collectTime = milliseconds(300);
/// Time in which a new dispatcher takes programs that it does not know for programs under way.
constexpr duration takeoverTime = seconds(3);
/// Fraction of its remaining time for which a turn may wait. After a longer wait the answer could
/// no longer arrive in time.
constexpr double waitShare = 0.4;
/// Maximum time that a first turn is queued. An early refusal lets its client retry while
/// its program can still end in time.
constexpr duration maxFirstWait = seconds(1);
/// Prompt tokens that an engine reads per millisecond, roughly, and the factor by which reading
/// them costs more than that, as the other requests of the batch stall.
constexpr double readTokensPerMs = 50;
constexpr double readCost = 2;
constexpr duration minReplicaWait = milliseconds(10);
constexpr duration maxReplicaWait = milliseconds(250);
constexpr duration minRetryAfter = milliseconds(200);
constexpr duration maxRetryAfter = milliseconds(1300);
constexpr double retryJitter = 0.25;
/// Retry-After of a turn whose program is under way: it has waited for long.
constexpr duration laterRetryAfter = milliseconds(100);
/// Interval in which the order of the queue is brought up to date.
constexpr duration reorderInterval = milliseconds(50);
/// Interval in which sessions, shares and tickets of the last seconds are looked through. There are
/// thousands of them.
constexpr duration expiryInterval = milliseconds(250);
/// Age from which on a granted ticket must be listed in renewals, and the renewals that may miss it
/// before it counts as released.
constexpr duration renewalGrace = milliseconds(300);
constexpr int maxMissedRenewals = 2;
/// Silence after which the tickets of a daemon count as released.
constexpr duration renewalTimeout = milliseconds(1500);
/// Time for which an ended ticket is kept, so that a request that arrives late is not queued again.
constexpr duration endedRetention = seconds(2);

session_key sessionOf(const slot_request &request)
{
    return {request.program, request.session};
}

duration maxWait(const queued_turn &turn)
{
    const auto wait = std::chrono::duration_cast<duration>(waitShare * turn.request.timeLeft);
    return turn.isFirst ? std::min(wait, maxFirstWait) : wait;
}

} // namespace

program_dispatcher::program_dispatcher(std::uint64_t seed, time_point now)
    : m_random(static_cast<std::uint_fast32_t>(seed)), m_startedAt(now), m_replicas(seed),
      m_sessions(m_replicas)
{ }

void program_dispatcher::setReplicas(const std::vector<engine_replica> &listed, time_point now)
{
    m_replicas.setReplicas(listed);
    grantQueued(now);
}

void program_dispatcher::onRequest(const slot_request &request, time_point now)
{
    const auto known = m_tickets.find(request.ticket);
    if (known != m_tickets.end()) {
        known->second.renewedAt = now;
        m_decisions.push_back({request, known->second.answer, duration::zero()});
        return;
    }
    enqueue(request, now);
    grantQueued(now);
    refuseIfInfeasible(request.ticket, now);
    if (m_queue.find(request.ticket))
        m_decisions.push_back({request, slot_queued{request.ticket.number}, duration::zero()});
}

void program_dispatcher::enqueue(const slot_request &request, time_point now)
{
    const bool isTakeover = now < m_startedAt + takeoverTime;
    program_admission::program_state &p = m_programs.onRequest(request, isTakeover, now);
    m_programs.onQueued(p);
    ticket_state &t = m_tickets[request.ticket];
    t.request = request;
    t.answer = slot_queued{request.ticket.number};
    t.since = now;
    t.renewedAt = now;
    queued_turn turn;
    turn.request = request;
    turn.isFirst = !p.hasBegun;
    turn.queuedAt = now;
    turn.expiresAt = now + maxWait(turn);
    turn.waitsForReplicaUntil = now;
    if (const auto location = m_sessions.find(sessionOf(request))) {
        const duration reading
            = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
                readCost * double(location->tokens) / readTokensPerMs));
        turn.waitsForReplicaUntil += std::clamp(reading, minReplicaWait, maxReplicaWait);
    }
    const slot_priority priority = priorityOf(turn, now);
    m_queue.add(priority, std::move(turn));
}

slot_priority program_dispatcher::priorityOf(const queued_turn &turn, time_point now)
{
    const slot_request &request = turn.request;
    slot_priority priority;
    priority.isFirst = turn.isFirst;
    priority.rank = request.rank;
    priority.isOverShare = m_shares.isOverShare(request.account, now);
    if (const auto *const p = m_programs.find(request.program)) {
        priority.feasibility = m_programs.feasibility(*p, duration::zero(), now);
        priority.slack = m_programs.slack(*p, now);
    }
    return priority;
}

void program_dispatcher::refuseIfInfeasible(const slot_ticket &ticket, time_point now)
{
    const queued_turn *const turn = m_queue.find(ticket);
    const auto *const p = turn ? m_programs.find(turn->request.program) : nullptr;
    if (!p || now < m_startedAt + collectTime)
        return;
    if (!turn->isFirst) {
        const bool othersWait = m_queue.size(false) + m_queue.size(true) > 1;
        if (othersWait
            && m_programs.feasibility(*p, duration::zero(), now) == deadline_feasibility::Lost)
            refuse(ticket, slot_refusal_reason::CannotFinish, maxRetryAfter, now);
        return;
    }
    const duration wait
        = m_programs.expectedWait(m_queue.firstTurnsUpTo(ticket), m_replicas.slots(now), now);
    if (m_programs.feasibility(*p, wait, now) == deadline_feasibility::Lost)
        refuse(ticket, slot_refusal_reason::CannotFinish, retryAfter(wait), now);
    else if (wait > maxFirstWait)
        refuse(ticket, slot_refusal_reason::EnginesBusy, retryAfter(wait), now);
}

duration program_dispatcher::retryAfter(duration wait)
{
    // Clients that were refused together must not return together.
    std::uniform_real_distribution<double> factor(1 - retryJitter, 1 + retryJitter);
    const duration bounded = std::clamp<duration>(wait, minRetryAfter, maxRetryAfter);
    return std::chrono::duration_cast<duration>(bounded * factor(m_random));
}

std::optional<replica_incarnation> program_dispatcher::replicaFor(const queued_turn &turn,
                                                                  time_point now)
{
    const session_key key = sessionOf(turn.request);
    if (const auto location = m_sessions.find(key)) {
        if (m_replicas.hasFreeSlot(location->replica, now))
            return location->replica;
        if (now < turn.waitsForReplicaUntil && m_replicas.isAvailable(location->replica, now))
            return std::nullopt;
    } else if (const auto parent = m_sessions.findProgram(key.program)) {
        // A sub-agent's prompt begins with its parent's.
        if (m_replicas.hasFreeSlot(parent->replica, now))
            return parent->replica;
    }
    return m_replicas.leastLoaded(now);
}

void program_dispatcher::grantQueued(time_point now)
{
    if (now < m_startedAt + collectTime)
        return;
    bool mayContinue = !m_queue.empty();
    while (mayContinue && m_replicas.freeSlots(now) > 0)
        mayContinue = grantNext(false, now) || grantNext(true, now);
}

bool program_dispatcher::grantNext(bool isFirst, time_point now)
{
    if (m_queue.size(isFirst) == 0)
        return false;
    const int slots = m_replicas.slots(now);
    // Slots that later turns wait for are not free for programs that begin.
    const int freeSlots = m_replicas.freeSlots(now) - m_queue.size(false);
    // Under overload this spares the look at each first turn.
    if (isFirst && !m_programs.hasRoom(slots, freeSlots))
        return false;
    std::optional<replica_incarnation> replica;
    const queued_turn *const turn = m_queue.next(isFirst, [&](const queued_turn &candidate) {
        const slot_request &request = candidate.request;
        const bool mayBegin = !isFirst
            || m_programs.mayBegin(request.route, m_shares.isOverShare(request.account, now), slots,
                                   freeSlots);
        if (!mayBegin)
            return false;
        replica = replicaFor(candidate, now);
        return replica.has_value();
    });
    if (!turn)
        return false;
    // The ticket in the queue ends with its entry.
    const slot_ticket ticket = turn->request.ticket;
    grant(ticket, *replica, now);
    return true;
}

void program_dispatcher::grant(const slot_ticket &ticket, const replica_incarnation &replica,
                               time_point now)
{
    queued_turn turn = *m_queue.remove(ticket);
    const slot_request &request = turn.request;
    if (turn.isFirst)
        m_shares.onBegin(request.account, request.accountWeight, now);
    m_queue.onGranted(turn.isFirst);
    const session_key key = sessionOf(request);
    slot_grant granted{ticket.number, replica, 0};
    const auto location = m_sessions.find(key);
    if (location && location->replica == replica)
        granted.cachedTokens = std::min(location->tokens, request.promptTokens);
    m_sessions.assign(key, replica, request.promptTokens, now);
    m_replicas.acquire(replica);
    if (auto *const p = m_programs.find(request.program)) {
        m_programs.onGranted(*p, now);
        if (turn.isFirst && p->queued > 0)
            requeueAsLater(request.program, now);
    }
    ticket_state &t = m_tickets[ticket];
    t.phase = ticket_phase::Granted;
    t.replica = replica;
    t.answer = granted;
    t.since = now;
    t.missedRenewals = 0;
    m_decisions.push_back({std::move(turn.request), granted, now - turn.queuedAt});
}

void program_dispatcher::requeueAsLater(const program_id &program, time_point now)
{
    const auto tickets = m_queue.select(
        [&](const queued_turn &turn) { return turn.isFirst && turn.request.program == program; });
    for (const slot_ticket &ticket : tickets) {
        queued_turn turn = *m_queue.remove(ticket);
        turn.isFirst = false;
        turn.expiresAt = turn.queuedAt + maxWait(turn);
        const slot_priority priority = priorityOf(turn, now);
        m_queue.add(priority, std::move(turn));
    }
}

void program_dispatcher::refuse(const slot_ticket &ticket, slot_refusal_reason reason,
                                duration retryAfter, time_point now)
{
    auto turn = m_queue.remove(ticket);
    if (!turn)
        return;
    if (auto *const p = m_programs.find(turn->request.program))
        m_programs.onDequeued(*p, now);
    const slot_refusal refusal{ticket.number, reason, retryAfter};
    ticket_state &t = m_tickets[ticket];
    t.phase = ticket_phase::Ended;
    t.answer = refusal;
    t.since = now;
    m_decisions.push_back({std::move(turn->request), refusal, now - turn->queuedAt});
}

void program_dispatcher::drop(const slot_ticket &ticket, time_point now)
{
    const auto turn = m_queue.remove(ticket);
    if (!turn)
        return;
    if (auto *const p = m_programs.find(turn->request.program))
        m_programs.onDequeued(*p, now);
}

void program_dispatcher::endGranted(ticket_state &t, send_outcome outcome, double msPerEvent,
                                    time_point now)
{
    t.phase = ticket_phase::Ended;
    t.since = now;
    m_replicas.release(t.replica, outcome, msPerEvent, now);
    if (auto *const p = m_programs.find(t.request.program))
        m_programs.onReleased(*p, now);
}

void program_dispatcher::onRelease(const slot_release &release, time_point now)
{
    // Without an entry, a request that is still under way would be taken for a new one.
    ticket_state &t = m_tickets[release.ticket];
    if (t.phase == ticket_phase::Granted)
        endGranted(t, release.outcome, release.msPerEvent, now);
    drop(release.ticket, now);
    t.phase = ticket_phase::Ended;
    t.answer = slot_refusal{release.ticket.number, slot_refusal_reason::EnginesBusy, {}};
    t.since = now;
    grantQueued(now);
}

void program_dispatcher::revoke(const slot_ticket &ticket, slot_refusal_reason reason,
                                duration retryAfter, time_point now)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end() || found->second.phase != ticket_phase::Granted)
        return;
    endGranted(found->second, send_outcome::Cancelled, 0, now);
    found->second.answer = slot_refusal{ticket.number, reason, retryAfter};
    grantQueued(now);
}

void program_dispatcher::onRenewal(const slot_renewal &renewal, time_point now)
{
    for (const active_ticket &active : renewal.tickets) {
        const slot_ticket ticket{renewal.daemon, renewal.incarnation, active.number};
        const auto known = m_tickets.find(ticket);
        if (known == m_tickets.end()) {
            adopt(ticket, active, renewal.service, now);
            continue;
        }
        ticket_state &t = known->second;
        t.renewedAt = now;
        t.missedRenewals = 0;
        // The daemon still waits, so the answer was lost.
        const bool isAnswerLost = active.replica.id.empty() && t.phase != ticket_phase::Queued
            && now > t.since + renewalGrace;
        if (isAnswerLost)
            m_decisions.push_back({t.request, t.answer, duration::zero()});
    }
    releaseUnlisted(renewal, now);
    grantQueued(now);
}

void program_dispatcher::adopt(const slot_ticket &ticket, const active_ticket &active,
                               const std::string &service, time_point now)
{
    // The daemon of a queued turn sends its request to the new dispatcher.
    if (active.replica.id.empty())
        return;
    ticket_state &t = m_tickets[ticket];
    t.phase = ticket_phase::Granted;
    t.request.ticket = ticket;
    t.request.service = service;
    t.request.program = active.program;
    t.request.session = active.session;
    t.replica = active.replica;
    t.answer = slot_grant{active.number, active.replica, 0};
    t.since = now;
    t.renewedAt = now;
    m_replicas.acquire(active.replica);
    m_programs.onAdopted(active.program, now);
    m_sessions.assign({active.program, active.session}, active.replica, 0, now);
}

void program_dispatcher::releaseUnlisted(const slot_renewal &renewal, time_point now)
{
    std::set<std::uint64_t> listed;
    for (const active_ticket &active : renewal.tickets)
        listed.insert(active.number);
    const slot_ticket first{renewal.daemon, renewal.incarnation, renewal.firstNumber};
    for (auto item = m_tickets.lower_bound(first); item != m_tickets.end(); ++item) {
        const auto &[ticket, state] = *item;
        const bool isSameDaemon
            = ticket.daemon == renewal.daemon && ticket.incarnation == renewal.incarnation;
        if (!isSameDaemon || ticket.number > renewal.lastNumber)
            break;
        ticket_state &t = item->second;
        const bool isRecent = now < t.since + renewalGrace;
        if (t.phase == ticket_phase::Ended || isRecent || listed.contains(ticket.number))
            continue;
        if (++t.missedRenewals < maxMissedRenewals)
            continue;
        abandon(ticket, t, now);
    }
}

void program_dispatcher::abandon(const slot_ticket &ticket, ticket_state &t, time_point now)
{
    if (t.phase == ticket_phase::Granted)
        endGranted(t, send_outcome::Cancelled, 0, now);
    drop(ticket, now);
    t.phase = ticket_phase::Ended;
    // A repeated request must not be told of a slot or a place in the queue that is gone.
    t.answer = slot_refusal{ticket.number, slot_refusal_reason::EnginesBusy, {}};
    t.since = now;
}

void program_dispatcher::releaseUnless(const std::function<bool(const slot_ticket &)> &isAlive,
                                       time_point now)
{
    for (auto &[ticket, t] : m_tickets) {
        if (t.phase != ticket_phase::Ended && !isAlive(ticket))
            abandon(ticket, t, now);
    }
    grantQueued(now);
}

void program_dispatcher::expireTickets(time_point now)
{
    releaseUnless(
        [&](const slot_ticket &ticket) {
            return now <= m_tickets.at(ticket).renewedAt + renewalTimeout;
        },
        now);
    std::erase_if(m_tickets, [now](const auto &item) {
        return item.second.phase == ticket_phase::Ended && now > item.second.since + endedRetention;
    });
}

void program_dispatcher::update(time_point now)
{
    if (now >= m_reorderedAt + reorderInterval) {
        m_reorderedAt = now;
        m_programs.update(now);
        if (now >= m_expiredAt + expiryInterval) {
            m_expiredAt = now;
            m_sessions.expire(now);
            m_shares.update(now);
            expireTickets(now);
        }
        m_queue.reorder([&](const queued_turn &turn) { return priorityOf(turn, now); });
    }
    grantQueued(now);
    const auto expired = m_queue.select([&](const queued_turn &turn) {
        const auto *const p = m_programs.find(turn.request.program);
        const bool isInfeasible = turn.isFirst && p
            && m_programs.feasibility(*p, duration::zero(), now) == deadline_feasibility::Lost;
        return now >= turn.expiresAt || isInfeasible;
    });
    for (const slot_ticket &ticket : expired) {
        const bool isFirst = m_queue.find(ticket)->isFirst;
        const duration wait = isFirst
            ? retryAfter(m_programs.expectedWait(m_queue.size(true), m_replicas.slots(now), now))
            : laterRetryAfter;
        refuse(ticket, slot_refusal_reason::EnginesBusy, wait, now);
    }
}

bool program_dispatcher::isGranted(const slot_ticket &ticket) const
{
    const auto found = m_tickets.find(ticket);
    return found != m_tickets.end() && found->second.phase == ticket_phase::Granted;
}

dispatcher_gauges program_dispatcher::gauges(time_point now) const
{
    dispatcher_gauges g;
    g.queuedFirstTurns = m_queue.size(true);
    g.queuedLaterTurns = m_queue.size(false);
    g.inFlight = m_replicas.inFlight();
    g.slots = m_replicas.slots(now);
    g.programs = m_programs.running();
    g.ejectedReplicas = m_replicas.ejected(now);
    return g;
}

} // namespace azurehill
