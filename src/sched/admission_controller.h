#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <map>
#include <random>

namespace azurehill {

/// \brief Request to start a program.
struct program_request
{
    program_id program;
    tenant_id tenant;
    std::string programClass;
    std::string service;
    double weight = 1;
    /// Time until its deadline, if it has one.
    std::optional<duration> limit;
    /// Maximum number of concurrent programs of the tenant.
    std::int64_t tenantLimit = 1'000'000;
};

/// \brief Load on which the decision to admit a program is based.
struct admission_state
{
    /// Calls per slot of the service's replicas, including those queued at this daemon.
    double callsPerSlot = 0;
    /// See service_ledger::shareExcess().
    double shareExcess = 0;
    int tenantPrograms = 0;
};

/// \brief Admission controller for programs.
///
/// The calls of an admitted program are never refused for load: a half-finished program is wasted
/// work, so capacity is reserved for the turns of programs that have started.
class admission_controller
{
public:
    admission_controller(const scheduler_parameters &parameters, std::uint64_t seed)
        : m_parameters(parameters), m_random(seed)
    { }
    void setParameters(const scheduler_parameters &parameters) { m_parameters = parameters; }

    /// \returns nothing if the program is admitted, or the delay after which the caller may
    /// retry.
    std::optional<duration> refuse(const program_request &request, const admission_state &view);
    /// \brief Updates the moving average of the latency of programs of a class.
    void onProgramEnd(const std::string &programClass, duration latency);

private:
    bool missesDeadline(const program_request &request, const admission_state &view) const;
    duration jitteredRetryDelay(double callsPerSlot);

    scheduler_parameters m_parameters;
    std::minstd_rand m_random;
    std::map<std::string, double> m_latency;
};

} // namespace azurehill
