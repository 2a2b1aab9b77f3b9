#include "slots/slot_exchange.h"

#include "core/log_event.h"

#include <boost/asio/redirect_error.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace azurehill {

namespace {

/// Datagrams are lost occasionally. Answers take some milliseconds, on slow hosts some tens.
constexpr duration firstRetryInterval = milliseconds(40);
/// Time without any answer after which a dispatcher counts as unreachable, and for how long.
constexpr duration answerTimeout = milliseconds(200);
constexpr duration suspectTime = milliseconds(500);
constexpr duration renewalInterval = milliseconds(250);
/// Silence of a dispatcher that has queued a request, after which it counts as unreachable.
constexpr duration renewalTimeout = 3 * renewalInterval;
/// Tickets of one renewal, which takes about 8 KB with them; larger datagrams are cut off.
constexpr std::size_t ticketsPerRenewal = 100;
/// Interval in which a dispatcher looks for what has become due.
constexpr duration busyTick = milliseconds(10);
constexpr duration idleTick = milliseconds(100);
/// The same while there is nothing to dispatch or renew, as on deployments without dispatch.
constexpr duration inactiveTick = seconds(1);
/// Time for which a daemon goes on to dispatch a group although the members prefer another one:
/// daemons learn of that at different times.
constexpr duration handOverTime = seconds(2);
/// Fraction of a request's time for which it may wait, and a margin for the answer. The dispatcher
/// refuses a request earlier than that.
constexpr double waitShare = 0.4;
constexpr duration answerMargin = milliseconds(150);
/// Maximum time for holding the tokens of a turn that has a slot, which is idle meanwhile.
constexpr duration holdTimeout = seconds(1);
/// Retry-After while the store can't be reached; outages last for seconds.
constexpr duration storeRetryAfter = seconds(2);
/// Retry-After of a request that waited for its whole time.
constexpr duration overdueRetryAfter = milliseconds(100);
constexpr duration loadLogInterval = seconds(1);

/// \returns the id under which the tokens of the turn of \p ticket are reserved. A client may send
/// one request through two daemons; both may run it, and each returns the tokens of its own ticket.
turn_id reservationOf(const slot_ticket &ticket)
{
    return {fmt::format("{}-{}-{}", ticket.daemon.value, ticket.incarnation, ticket.number)};
}

turn_claim claimOf(const slot_request &request)
{
    return {reservationOf(request.ticket),
            request.program,
            request.budgetTokens.value_or(0),
            request.maxOutputTokens,
            request.timeToFinish,
            false,
            request.timeLeft + request.retention};
}

} // namespace

endpoint slotAddress(const member_state &member)
{
    return {member.gossip.host, static_cast<std::uint16_t>(member.gossip.port + 2)};
}

slot_exchange::slot_exchange(const asio::any_io_executor &executor, budget_holder &budgets)
    : m_executor(executor), m_budgets(budgets),
      m_socket(executor, "slots",
               [this](std::string_view text, const endpoint &from) { onDatagram(text, from); }),
      m_tick(executor)
{ }

std::uint16_t slot_exchange::start(const endpoint &address)
{
    spawn(m_executor, "renewTickets", renewTickets());
    spawn(m_executor, "runDispatchers", runDispatchers());
    return m_socket.listen(address);
}

void slot_exchange::setMembers(member_state self, std::vector<member_state> others)
{
    m_self = std::move(self);
    m_others = std::move(others);
    m_budgets.setSelf(m_self.name, m_self.incarnation);
    m_candidates.clear();
    const auto consider = [this](const member_state &m) {
        if (m.serving)
            m_candidates.push_back({m.name, m.cores});
    };
    consider(m_self);
    std::for_each(m_others.begin(), m_others.end(), consider);
    updateDispatchers();
    const time_point now = runtime_clock::now();
    for (auto &[group, dispatched] : m_dispatched) {
        dispatched.dispatcher->releaseUnless(
            [this](const slot_ticket &ticket) {
                const member_state *const m = findMember(ticket.daemon);
                return m && m->incarnation == ticket.incarnation;
            },
            now);
        executeDecisions(group);
    }
    // Requests that wait at a dispatcher that is gone are sent to its successor.
    for (const auto &[number, ticket] : m_tickets) {
        if (!ticket->result)
            ticket->wait->cancel();
    }
}

void slot_exchange::setReplicas(std::vector<replica_entry> listed)
{
    m_listed = std::move(listed);
    m_replicaCounts.clear();
    for (const replica_entry &entry : m_listed)
        ++m_replicaCounts[entry.service];
    updateDispatchers();
    for (const auto &[group, dispatched] : m_dispatched) {
        setReplicasOf(group, *dispatched.dispatcher);
        executeDecisions(group);
    }
}

void slot_exchange::setServices(std::set<std::string> services)
{
    m_services = std::move(services);
    updateDispatchers();
}

slot_exchange::group_key slot_exchange::groupOf(const std::string &service,
                                                const program_id &program) const
{
    const auto count = m_replicaCounts.find(service);
    const std::uint32_t groups = groupsOf(count == m_replicaCounts.end() ? 0 : count->second);
    return {service, azurehill::groupOf(program, groups)};
}

daemon_id slot_exchange::dispatcherOf(const group_key &group) const
{
    return azurehill::dispatcherOf(group.first, group.second, m_candidates);
}

const member_state *slot_exchange::findMember(const daemon_id &name) const
{
    if (name == m_self.name)
        return &m_self;
    const auto found = std::find_if(m_others.begin(), m_others.end(),
                                    [&](const member_state &m) { return m.name == name; });
    return found == m_others.end() ? nullptr : &*found;
}

bool slot_exchange::isSuspect(const daemon_id &dispatcher) const
{
    const auto found = m_suspectUntil.find(dispatcher);
    return found != m_suspectUntil.end() && runtime_clock::now() < found->second;
}

void slot_exchange::setReplicasOf(const group_key &group, program_dispatcher &dispatcher) const
{
    const auto count = m_replicaCounts.find(group.first);
    const std::uint32_t groups = groupsOf(count == m_replicaCounts.end() ? 0 : count->second);
    std::vector<engine_replica> replicas;
    for (const replica_entry &entry : m_listed) {
        const bool isInGroup = entry.service == group.first
            && azurehill::groupOf(entry.incarnation.id, groups) == group.second;
        if (isInGroup && !entry.draining)
            replicas.push_back({entry.incarnation, entry.slots});
    }
    dispatcher.setReplicas(replicas, runtime_clock::now());
}

void slot_exchange::updateDispatchers()
{
    const time_point now = runtime_clock::now();
    for (const std::string &service : m_services) {
        const auto count = m_replicaCounts.find(service);
        if (count == m_replicaCounts.end())
            continue;
        for (std::uint32_t g = 0; g < groupsOf(count->second); ++g) {
            const group_key group{service, g};
            if (m_self.name.empty() || dispatcherOf(group) != m_self.name)
                continue;
            dispatched_group &dispatched = m_dispatched[group];
            dispatched.chosenAt = now;
            if (dispatched.dispatcher)
                continue;
            dispatched.dispatcher
                = std::make_unique<program_dispatcher>(stableHash(m_self.name.value, g), now);
            setReplicasOf(group, *dispatched.dispatcher);
            logDecision(log_event::DispatcherStarted,
                        {{"service", service},
                         {"group", std::int64_t(g)},
                         {"slots", std::int64_t(dispatched.dispatcher->gauges(now).slots)}});
        }
    }
    std::erase_if(m_dispatched,
                  [now](const auto &item) { return now > item.second.chosenAt + handOverTime; });
}

program_dispatcher *slot_exchange::findDispatcher(const group_key &group)
{
    const auto found = m_dispatched.find(group);
    return found == m_dispatched.end() ? nullptr : found->second.dispatcher.get();
}

void slot_exchange::onDatagram(std::string_view text, const endpoint &from)
{
    const auto message = decodeSlotMessage(text);
    if (!message) {
        logDecision(log_event::GossipUnreadable, {{"from", from.host}});
        return;
    }
    if (const auto *request = std::get_if<slot_request>(&*message)) {
        m_addresses[request->ticket.daemon] = from;
        onRequest(*request);
    } else if (const auto *release = std::get_if<slot_release>(&*message)) {
        onRelease(*release);
    } else if (const auto *renewal = std::get_if<slot_renewal>(&*message)) {
        m_addresses[renewal->daemon] = from;
        onRenewal(*renewal);
    } else {
        const auto sender
            = std::find_if(m_others.begin(), m_others.end(),
                           [&](const member_state &m) { return slotAddress(m) == from; });
        if (sender != m_others.end())
            m_heardAt[sender->name] = runtime_clock::now();
        onAnswer(*message);
    }
}

void slot_exchange::send(const daemon_id &daemon, const slot_message &message)
{
    if (daemon == m_self.name) {
        m_heardAt[daemon] = runtime_clock::now();
        if (const auto *request = std::get_if<slot_request>(&message))
            onRequest(*request);
        else if (const auto *release = std::get_if<slot_release>(&message))
            onRelease(*release);
        else if (const auto *renewal = std::get_if<slot_renewal>(&message))
            onRenewal(*renewal);
        else
            onAnswer(message);
        return;
    }
    const member_state *const member = findMember(daemon);
    const auto known = m_addresses.find(daemon);
    if (member)
        m_socket.send(slotAddress(*member), encodeSlotMessage(message));
    else if (known != m_addresses.end())
        m_socket.send(known->second, encodeSlotMessage(message));
}

void slot_exchange::onAnswer(const slot_message &answer)
{
    if (const auto *queued = std::get_if<slot_queued>(&answer)) {
        const auto found = m_tickets.find(queued->number);
        if (found != m_tickets.end())
            found->second->isAcknowledged = true;
    } else if (const auto *grant = std::get_if<slot_grant>(&answer)) {
        held_slot slot;
        slot.number = grant->number;
        slot.replica = grant->replica;
        slot.cachedTokens = grant->cachedTokens;
        finish(grant->number, slot);
    } else if (const auto *refusal = std::get_if<slot_refusal>(&answer)) {
        const bool isMisdirected = refusal->reason == slot_refusal_reason::NotDispatcher;
        finish(refusal->number,
               isMisdirected ? slot_result(dispatcher_unreachable()) : slot_result(*refusal));
    }
}

void slot_exchange::finish(std::uint64_t number, slot_result result)
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end() || found->second->result)
        return;
    if (const auto *slot = std::get_if<held_slot>(&result))
        found->second->replica = slot->replica;
    found->second->result = std::move(result);
    found->second->wait->cancel();
}

bool slot_exchange::sendIfDue(own_ticket &ticket)
{
    const time_point now = runtime_clock::now();
    const daemon_id dispatcher
        = dispatcherOf(groupOf(ticket.request.service, ticket.request.program));
    if (dispatcher.empty() || isSuspect(dispatcher))
        return false;
    if (dispatcher != ticket.dispatcher) {
        ticket.dispatcher = dispatcher;
        ticket.askedAt = now;
        ticket.transmissions = 0;
        ticket.isAcknowledged = false;
    }
    const time_point heardAt = std::max(m_heardAt[dispatcher], ticket.askedAt);
    const bool isSilent = ticket.isAcknowledged ? now > heardAt + renewalTimeout
                                                : now > ticket.askedAt + answerTimeout;
    if (isSilent) {
        m_suspectUntil[dispatcher] = now + suspectTime;
        return false;
    }
    const bool isDue = !ticket.isAcknowledged
        && now >= ticket.askedAt + firstRetryInterval * ((1 << ticket.transmissions) - 1);
    if (!isDue)
        return true;
    ++ticket.transmissions;
    const slot_request request = ticket.request;
    send(dispatcher, request);
    return true;
}

awaitable<slot_result> slot_exchange::acquire(slot_request request, std::shared_ptr<timer> wait,
                                              std::function<bool()> isWanted)
{
    const time_point began = runtime_clock::now();
    const time_point until
        = began + answerMargin + std::chrono::duration_cast<duration>(waitShare * request.timeLeft);
    request.ticket = {m_self.name, m_self.incarnation, ++m_lastNumber};
    const std::uint64_t number = m_lastNumber;
    auto ticket = std::make_shared<own_ticket>();
    ticket->request = std::move(request);
    ticket->wait = std::move(wait);
    m_tickets[number] = ticket;
    bool isReachable = true;
    while (!ticket->result && isReachable && isWanted() && runtime_clock::now() < until) {
        isReachable = sendIfDue(*ticket);
        if (ticket->result || !isReachable)
            break;
        const duration pause = ticket->isAcknowledged ? renewalInterval : firstRetryInterval;
        ticket->wait->expires_at(std::min(until, runtime_clock::now() + pause));
        boost::system::error_code code;
        co_await ticket->wait->async_wait(asio::redirect_error(use_awaitable, code));
    }
    // The dispatcher answers every request before that, unless its answers are lost.
    const bool isOverdue = isReachable && runtime_clock::now() >= until;
    const slot_refusal overdue{number, slot_refusal_reason::EnginesBusy, overdueRetryAfter};
    slot_result result = ticket->result.value_or(isOverdue ? slot_result(overdue)
                                                           : slot_result(dispatcher_unreachable()));
    auto *const slot = std::get_if<held_slot>(&result);
    if (!slot)
        release(number, {});
    else
        slot->waited = runtime_clock::now() - began;
    if (!isReachable) {
        logDecision(log_event::DispatcherUnreachable,
                    {{"request", ticket->request.requestId},
                     {"dispatcher", ticket->dispatcher.value},
                     {"ms", toMilliseconds(runtime_clock::now() - began)}});
    }
    co_return result;
}

void slot_exchange::release(std::uint64_t number, const slot_end &end)
{
    const auto found = m_tickets.find(number);
    if (found == m_tickets.end())
        return;
    const own_ticket_ptr ticket = found->second;
    m_tickets.erase(found);
    // A refused request has no ticket any more.
    if (ticket->result && std::holds_alternative<slot_refusal>(*ticket->result))
        return;
    const slot_request &request = ticket->request;
    const daemon_id dispatcher = dispatcherOf(groupOf(request.service, request.program));
    if (dispatcher.empty() || ticket->dispatcher.empty())
        return;
    const slot_release message{request.ticket, request.service, request.program, request.requestId,
                               end.outcome,    end.usedTokens,  end.msPerEvent};
    send(dispatcher, message);
    // The daemon that granted the slot holds the turn's tokens.
    if (ticket->dispatcher != dispatcher)
        send(ticket->dispatcher, message);
}

awaitable<void> slot_exchange::renewTickets()
{
    while (true) {
        co_await sleepFor(m_services.empty() ? inactiveTick : renewalInterval);
        sendRenewals();
    }
}

void slot_exchange::sendRenewals()
{
    std::map<group_key, slot_renewal> renewals;
    for (const auto &[number, ticket] : m_tickets) {
        const slot_request &request = ticket->request;
        const group_key group = groupOf(request.service, request.program);
        renewals[group].tickets.push_back(
            {number, request.program, request.session, ticket->replica, request.maxOutputTokens});
    }
    for (auto &[group, renewal] : renewals) {
        renewal.daemon = m_self.name;
        renewal.incarnation = m_self.incarnation;
        renewal.service = group.first;
        renewal.group = group.second;
        const daemon_id dispatcher = dispatcherOf(group);
        if (!dispatcher.empty())
            sendInParts(dispatcher, renewal);
    }
}

void slot_exchange::sendInParts(const daemon_id &dispatcher, const slot_renewal &renewal)
{
    slot_renewal part = renewal;
    part.tickets.clear();
    for (const active_ticket &ticket : renewal.tickets) {
        part.tickets.push_back(ticket);
        if (part.tickets.size() < ticketsPerRenewal)
            continue;
        part.lastNumber = ticket.number;
        send(dispatcher, part);
        part.tickets.clear();
        part.firstNumber = ticket.number + 1;
        part.lastNumber = renewal.lastNumber;
    }
    send(dispatcher, part);
}

void slot_exchange::onRequest(const slot_request &request)
{
    const group_key group = groupOf(request.service, request.program);
    program_dispatcher *const dispatcher = findDispatcher(group);
    if (!dispatcher) {
        send(request.ticket.daemon,
             slot_refusal{request.ticket.number, slot_refusal_reason::NotDispatcher, {}});
        return;
    }
    dispatcher->onRequest(request, runtime_clock::now());
    executeDecisions(group);
}

void slot_exchange::onRelease(const slot_release &release)
{
    m_budgets.settle(release.program, reservationOf(release.ticket), release.usedTokens);
    const group_key group = groupOf(release.service, release.program);
    program_dispatcher *const dispatcher = findDispatcher(group);
    if (!dispatcher)
        return;
    dispatcher->onRelease(release, runtime_clock::now());
    executeDecisions(group);
}

void slot_exchange::onRenewal(const slot_renewal &renewal)
{
    const group_key group{renewal.service, renewal.group};
    program_dispatcher *const dispatcher = findDispatcher(group);
    if (!dispatcher)
        return;
    dispatcher->onRenewal(renewal, runtime_clock::now());
    send(renewal.daemon, slot_renewed{renewal.service, renewal.group});
    executeDecisions(group);
}

awaitable<void> slot_exchange::runDispatchers()
{
    while (true) {
        const bool isBusy
            = std::any_of(m_dispatched.begin(), m_dispatched.end(),
                          [](const auto &item) { return item.second.dispatcher->hasQueued(); });
        const duration idlePause = m_dispatched.empty() ? inactiveTick : idleTick;
        m_tick.expires_after(isBusy ? busyTick : idlePause);
        boost::system::error_code code;
        co_await m_tick.async_wait(asio::redirect_error(use_awaitable, code));
        const time_point now = runtime_clock::now();
        for (const auto &[group, dispatched] : m_dispatched) {
            dispatched.dispatcher->update(now);
            executeDecisions(group);
        }
        m_budgets.expire(now);
        logLoad(now);
    }
}

void slot_exchange::executeDecisions(const group_key &group)
{
    program_dispatcher *const dispatcher = findDispatcher(group);
    if (!dispatcher)
        return;
    for (const slot_decision &decision : dispatcher->takeDecisions()) {
        const daemon_id &daemon = decision.request.ticket.daemon;
        if (std::holds_alternative<slot_grant>(decision.answer))
            confirmGrant(group, decision);
        else if (const auto *refusal = std::get_if<slot_refusal>(&decision.answer))
            send(daemon, *refusal);
        else
            send(daemon, std::get<slot_queued>(decision.answer));
    }
    if (dispatcher->hasQueued() && m_tick.expiry() > runtime_clock::now() + busyTick)
        m_tick.cancel();
}

void slot_exchange::confirmGrant(const group_key &group, const slot_decision &decision)
{
    const slot_request &request = decision.request;
    const auto &grant = std::get<slot_grant>(decision.answer);
    if (!request.budgetTokens || m_budgets.tryReserve(claimOf(request))) {
        send(request.ticket.daemon, grant);
        return;
    }
    // The store may take longer than the time after which a silent dispatcher counts as
    // unreachable.
    send(request.ticket.daemon, slot_queued{grant.number});
    if (m_unconfirmed.insert(request.ticket).second)
        spawn(m_executor, "holdTokens", holdAndConfirm(group, request, grant));
}

awaitable<void> slot_exchange::holdAndConfirm(group_key group, slot_request request,
                                              slot_grant grant)
{
    turn_claim claim = claimOf(request);
    const time_point deadline = runtime_clock::now() + std::min(holdTimeout, request.timeLeft);
    const auto reserved = co_await m_budgets.reserve(std::move(claim), deadline);
    m_unconfirmed.erase(request.ticket);
    program_dispatcher *const dispatcher = findDispatcher(group);
    const bool isWanted = dispatcher && dispatcher->isGranted(request.ticket);
    if (reserved && isWanted) {
        send(request.ticket.daemon, grant);
        co_return;
    }
    if (reserved) {
        m_budgets.settle(request.program, reservationOf(request.ticket), 0);
        co_return;
    }
    const auto reason = reserved.error() == turn_refusal::BudgetSpent
        ? slot_refusal_reason::BudgetSpent
        : slot_refusal_reason::TokensNotHeld;
    if (dispatcher)
        dispatcher->revoke(request.ticket, reason, storeRetryAfter, runtime_clock::now());
    send(request.ticket.daemon, slot_refusal{grant.number, reason, storeRetryAfter});
    executeDecisions(group);
}

dispatcher_gauges slot_exchange::gauges(time_point now) const
{
    dispatcher_gauges sum;
    for (const auto &[group, dispatched] : m_dispatched) {
        const dispatcher_gauges g = dispatched.dispatcher->gauges(now);
        sum.queuedFirstTurns += g.queuedFirstTurns;
        sum.queuedLaterTurns += g.queuedLaterTurns;
        sum.inFlight += g.inFlight;
        sum.slots += g.slots;
        sum.programs += g.programs;
        sum.ejectedReplicas += g.ejectedReplicas;
    }
    return sum;
}

void slot_exchange::logLoad(time_point now)
{
    if (now < m_loadLoggedAt + loadLogInterval)
        return;
    m_loadLoggedAt = now;
    for (const auto &[group, dispatched] : m_dispatched) {
        const dispatcher_gauges g = dispatched.dispatcher->gauges(now);
        if (g.inFlight + g.queuedFirstTurns + g.queuedLaterTurns == 0)
            continue;
        logDecision(log_event::DispatcherLoad,
                    {{"service", group.first},
                     {"group", std::int64_t(group.second)},
                     {"first_queued", std::int64_t(g.queuedFirstTurns)},
                     {"later_queued", std::int64_t(g.queuedLaterTurns)},
                     {"in_flight", std::int64_t(g.inFlight)},
                     {"slots", std::int64_t(g.slots)},
                     {"programs", std::int64_t(g.programs)},
                     {"ejected", std::int64_t(g.ejectedReplicas)}});
    }
}

} // namespace azurehill
