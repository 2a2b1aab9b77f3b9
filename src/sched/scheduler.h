#pragma once

#include "sched/admission_controller.h"
#include "sched/call_queue.h"
#include "sched/prefix_map.h"
#include "sched/replica_health.h"
#include "sched/replica_table.h"
#include "sched/retry_budget.h"
#include "sched/router.h"
#include "sched/service_ledger.h"

#include <functional>

namespace azurehill {

/// \brief Scheduler: admits programs, orders calls and chooses a replica for each.
///
/// It is a state machine that performs no I/O: the owner passes in events with the current time,
/// executes the actions that takeActions() returns, and calls onTick() several times a second. No
/// call blocks.
class scheduler
{
public:
    scheduler(const scheduler_parameters &parameters, data_centre_id localDataCentre,
              std::uint64_t seed);

    void setReplicas(const std::vector<replica> &listed, time_point now);
    void onReport(const upstream_id &id, const load_report &report, time_point now);
    void onCacheEvent(const upstream_id &id, const cache_event &event, time_point now);

    /// \brief Decides on the admission of a program.
    /// \returns nothing if it is admitted, or the delay after which the caller may retry.
    std::optional<duration> refuseProgram(const program_request &request, time_point now);
    /// \brief Registers a running program, admitted here or taken over from another daemon.
    void startProgram(const program_request &request, time_point now);
    void endProgram(const program_id &id, time_point now);

    /// \brief Submits a call, which will be dispatched or refused.
    void submit(pending_call call, time_point now);
    /// \brief Cancels a call that is queued, or was dispatched but will not be sent.
    void cancel(call_number number, time_point now);
    /// \brief Reroutes a call that did not run to another replica, if the retry budget permits.
    /// \returns the new replica, or nothing.
    std::optional<upstream_id> reroute(call_number number, time_point now);
    void onEnd(call_number number, const call_result &end, time_point now);
    /// \brief Decides whether a failed call may be retried.
    /// \returns the delay before the retry, or nothing.
    std::optional<duration> retryAfter(outcome ended, bool idempotent, int attempt);
    void onTick(time_point now);

    /// \returns the actions since the last call, in order.
    std::vector<sched_action> takeActions();

    /// \brief Applies the parameters of a new preset.
    void setParameters(const scheduler_parameters &parameters);
    /// \brief Ends the programs for which \p isUnderWay returns false, such as those that moved
    /// to another daemon.
    void retainPrograms(const std::function<bool(const program_id &)> &isUnderWay, time_point now);
    std::optional<replica> findReplica(const upstream_id &id) const;
    std::vector<replica> replicas() const { return m_table.list(); }
    /// \returns the calls per slot of the replicas of \p service, including those queued here.
    double callsPerSlot(std::string_view service) const;
    std::size_t queued() const { return m_queue.size(); }

private:
    struct sent_call
    {
        pending_call call;
        route placement;
        time_point at;
        int attempts = 1;
    };
    struct known_program
    {
        std::string programClass;
        time_point startedAt;
    };

    bool tryDispatch(const pending_call &call, double order, time_point now);
    bool hasCapacity(const pending_call &call, replica_index index) const;
    void dispatchWaiting(time_point now);
    void ejectOverdue(time_point now);
    double queueOrder(const pending_call &call, time_point now) const;

    scheduler_parameters m_parameters;
    replica_table m_table;
    prefix_map m_prefixes;
    replica_health m_health;
    router m_router;
    service_ledger m_ledger;
    call_queue m_queue;
    admission_controller m_admission;
    retry_budget m_retries;
    std::unordered_map<call_number, sent_call> m_sent;
    std::unordered_map<program_id, known_program> m_programs;
    std::vector<sched_action> m_actions;
    time_point m_expiredAt;
};

} // namespace azurehill
