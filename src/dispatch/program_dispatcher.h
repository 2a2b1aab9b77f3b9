#pragma once

#include "dispatch/account_shares.h"
#include "dispatch/program_admission.h"
#include "dispatch/replica_pool.h"
#include "dispatch/session_directory.h"
#include "dispatch/slot_message.h"
#include "dispatch/slot_queue.h"

#include <map>
#include <random>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief The dispatcher's answer to one request for a slot.
struct slot_decision
{
    slot_request request;
    std::variant<slot_queued, slot_grant, slot_refusal> answer;
    /// How long the request was queued.
    duration waited = duration::zero();
};

/// \brief Figures of a dispatcher for metrics and the log.
struct dispatcher_gauges
{
    int queuedFirstTurns = 0;
    int queuedLaterTurns = 0;
    int inFlight = 0;
    int slots = 0;
    int programs = 0;
    int ejectedReplicas = 0;
};

/// \brief Dispatcher of a group of engines: decides which turn of which program runs where and
/// when, for all daemons.
///
/// Events and a time go in, decisions come out; there is no input or output. Its state is lost with
/// its daemon: the next dispatcher learns from the renewals of the other daemons which turns are in
/// flight. Two dispatchers of one group at a time only overload its engines.
class program_dispatcher
{
public:
    program_dispatcher(std::uint64_t seed, time_point now);

    /// \brief Sets the engines of the group that accept requests.
    void setReplicas(const std::vector<engine_replica> &listed, time_point now);

    /// \brief A daemon requests a slot. A repeated request gets the same answer again.
    void onRequest(const slot_request &request, time_point now);
    /// \brief A turn has ended, or its ticket is no longer wanted.
    void onRelease(const slot_release &release, time_point now);
    /// \brief A daemon lists its tickets.
    void onRenewal(const slot_renewal &renewal, time_point now);
    /// \brief Releases the tickets of the daemons that \p isAlive rejects.
    void releaseUnless(const std::function<bool(const slot_ticket &)> &isAlive, time_point now);
    /// \brief Withdraws the grant of \p ticket, of which its daemon was not told.
    void revoke(const slot_ticket &ticket, slot_refusal_reason reason, duration retryAfter,
                time_point now);
    /// \brief Grants and refuses what has become due. To be called every few milliseconds while
    /// turns are queued.
    void update(time_point now);

    /// \returns the decisions since the last call.
    std::vector<slot_decision> takeDecisions() { return std::exchange(m_decisions, {}); }
    bool hasQueued() const { return !m_queue.empty(); }
    /// \returns whether \p ticket was granted and not released.
    bool isGranted(const slot_ticket &ticket) const;
    dispatcher_gauges gauges(time_point now) const;

private:
    enum class ticket_phase { Queued, Granted, Ended };
    struct ticket_state
    {
        ticket_phase phase = ticket_phase::Queued;
        slot_request request;
        replica_incarnation replica;
        /// The last answer, repeated if the request is.
        std::variant<slot_queued, slot_grant, slot_refusal> answer;
        /// When the phase began.
        time_point since;
        /// When the daemon last listed the ticket.
        time_point renewedAt;
        /// Renewals in a row that did not list it.
        int missedRenewals = 0;
    };

    void enqueue(const slot_request &request, time_point now);
    /// \brief Refuses the queued \p ticket if waiting is of no use.
    void refuseIfInfeasible(const slot_ticket &ticket, time_point now);
    void grantQueued(time_point now);
    /// \returns whether a turn was granted.
    bool grantNext(bool isFirst, time_point now);
    void grant(const slot_ticket &ticket, const replica_incarnation &replica, time_point now);
    /// \brief The queued turns of \p program become later turns, as it has begun.
    void requeueAsLater(const program_id &program, time_point now);
    void refuse(const slot_ticket &ticket, slot_refusal_reason reason, duration retryAfter,
                time_point now);
    /// \brief Adds a ticket that an earlier dispatcher granted.
    void adopt(const slot_ticket &ticket, const active_ticket &active, const std::string &service,
               time_point now);
    /// \brief Counts the renewals that miss a ticket of \p renewal's daemon.
    void releaseUnlisted(const slot_renewal &renewal, time_point now);
    /// \brief Releases a ticket that its daemon no longer uses.
    void abandon(const slot_ticket &ticket, ticket_state &t, time_point now);
    /// \brief Removes a queued ticket without an answer.
    void drop(const slot_ticket &ticket, time_point now);
    void endGranted(ticket_state &t, send_outcome outcome, double msPerEvent, time_point now);
    std::optional<replica_incarnation> replicaFor(const queued_turn &turn, time_point now);
    slot_priority priorityOf(const queued_turn &turn, time_point now);
    duration retryAfter(duration wait);
    void expireTickets(time_point now);

    std::minstd_rand m_random;
    time_point m_startedAt;
    replica_pool m_replicas;
    session_directory m_sessions;
    program_admission m_programs;
    account_shares m_shares;
    slot_queue m_queue;
    std::map<slot_ticket, ticket_state> m_tickets;
    std::vector<slot_decision> m_decisions;
    time_point m_reorderedAt;
    time_point m_expiredAt;
};

} // namespace azurehill
