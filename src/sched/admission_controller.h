#pragma once

#include "sched/call.h"
#include "sched/scheduler_parameters.h"

#include <map>
#include <random>

namespace azurehill {

/// \brief A program that asks to begin.
struct program_request
{
    program_id program;
    tenant_id tenant;
    std::string programClass;
    std::string service;
    double weight = 1;
    /// Time until its deadline.
    std::optional<duration> limit;
    /// Largest number of programs that the tenant may have under way.
    std::int64_t tenantLimit = 1'000'000;
};

/// \brief How things stand when a program asks to begin.
struct admission_state
{
    /// Calls per slot of the service's replicas, those that wait here included.
    double pressure = 0;
    /// See service_ledger::excess().
    double excess = 0;
    int tenantPrograms = 0;
};

/// \brief Admits or refuses programs. The calls of an admitted program are never refused for load:
/// half a program helps nobody, so the room is kept for the turns of those that have begun.
class admission
{
public:
    admission(const scheduler_parameters &knobs, std::uint64_t seed)
        : m_parameters(knobs), m_random(seed)
    { }
    void setParameters(const scheduler_parameters &knobs) { m_parameters = knobs; }

    /// \returns nothing if the program may begin, or the time after which to ask again.
    std::optional<duration> refuse(const program_request &request, const admission_state &view);
    /// \brief Learns how long programs of a class take at present.
    void onProgramEnd(const std::string &programClass, duration latency);

private:
    bool missesDeadline(const program_request &request, const admission_state &view) const;
    duration comeBack(double pressure);

    scheduler_parameters m_parameters;
    std::minstd_rand m_random;
    std::map<std::string, double> m_latency;
};

} // namespace azurehill
