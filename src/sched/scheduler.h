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

/// \brief Decides which call goes next, to which replica, and which programs may begin.
///
/// Events and the time go in, actions come out of takeActions(). Nothing blocks. The owner calls
/// onTick() a few times a second.
class scheduler
{
public:
    scheduler(const scheduler_parameters &knobs, data_centre_id here, std::uint64_t seed);

    void setReplicas(const std::vector<replica> &listed, time_point now);
    void onReport(const upstream_id &id, const load_report &report, time_point now);
    void onCacheEvent(const upstream_id &id, const cache_event &event, time_point now);

    /// \brief Asks for a program to begin. \returns nothing if it may, or when to ask again.
    std::optional<duration> refuseProgram(const program_request &request, time_point now);
    /// \brief A program is under way here: admitted, or taken over from another daemon.
    void startProgram(const program_request &request, time_point now);
    void endProgram(const program_id &id, time_point now);

    /// \brief Gives a call that is to be dispatched or refused.
    void submit(pending_call call, time_point now);
    /// \brief Takes back a call that waits or was dispatched, but is not going to be sent.
    void cancel(call_number number, time_point now);
    /// \brief Moves a call that did not run to another replica, if the retry budget allows.
    /// \returns the other replica.
    std::optional<upstream_id> move(call_number number, time_point now);
    void onEnd(call_number number, const call_result &end, time_point now);
    /// \brief Asks whether a call that ended badly may be sent again. \returns after which delay.
    std::optional<duration> retryAfter(outcome ended, bool idempotent, int attempt);
    void onTick(time_point now);

    /// \returns what is to be done since it was asked last, in order.
    std::vector<sched_action> takeActions();

    /// \brief Takes over what a new preset says.
    void setParameters(const scheduler_parameters &knobs);
    /// \brief Ends the programs for which \p isUnderWay says no, such as those that moved away.
    void retainPrograms(const std::function<bool(const program_id &)> &isUnderWay, time_point now);
    std::optional<replica> findReplica(const upstream_id &id) const;
    std::vector<replica> replicas() const { return m_table.list(); }
    /// \returns calls per slot on the replicas of \p service, with the calls that wait here.
    double pressure(std::string_view service) const;
    std::size_t queued() const { return m_queue.size(); }

private:
    struct sent_call
    {
        pending_call call;
        route where;
        time_point at;
        int attempts = 1;
    };
    struct known_program
    {
        std::string programClass;
        time_point startedAt;
    };

    bool place(const pending_call &call, double order, time_point now);
    bool hasRoom(const pending_call &call, replica_index index) const;
    void pump(time_point now);
    void ejectOverdue(time_point now);
    double queueOrder(const pending_call &call, time_point now) const;

    scheduler_parameters m_parameters;
    replica_table m_table;
    prefix_map m_prefixes;
    replica_health m_health;
    router m_router;
    service_ledger m_ledger;
    call_queue m_queue;
    admission m_admission;
    retry_budget m_retries;
    std::unordered_map<call_number, sent_call> m_sent;
    std::unordered_map<program_id, known_program> m_programs;
    std::vector<sched_action> m_actions;
    time_point m_expiredAt;
};

} // namespace azurehill
