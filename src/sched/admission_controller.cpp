#include "sched/admission_controller.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Weight of a new sample in the moving average of a class's latency.
constexpr double latencySmoothing = 0.05;
constexpr double minRetrySeconds = 1;
constexpr double maxRetrySeconds = 20;
constexpr double retrySecondsPerLoad = 10;

} // namespace

std::optional<duration> admission_controller::refuse(const program_request &request,
                                                     const admission_state &view)
{
    const bool full = view.callsPerSlot > m_parameters.maxCallsPerSlot;
    const bool aboveShare = view.callsPerSlot > m_parameters.fairShareCallsPerSlot
        && view.shareExcess > m_parameters.shareExcessTolerance;
    const bool tooMany = view.tenantPrograms >= request.tenantLimit;
    if (!full && !aboveShare && !tooMany && !missesDeadline(request, view))
        return std::nullopt;
    return jitteredRetryDelay(view.callsPerSlot);
}

bool admission_controller::missesDeadline(const program_request &request,
                                          const admission_state &view) const
{
    // At low load, past latency is no reason to refuse: otherwise no program would be admitted to
    // update the estimate.
    if (!request.limit || view.callsPerSlot < m_parameters.fairShareCallsPerSlot)
        return false;
    const auto known = m_latency.find(request.programClass);
    return known != m_latency.end()
        && known->second > std::chrono::duration<double>(*request.limit).count();
}

duration admission_controller::jitteredRetryDelay(double callsPerSlot)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double above = std::max(callsPerSlot - m_parameters.fairShareCallsPerSlot, 0.0);
    const double wait = std::clamp(minRetrySeconds + retrySecondsPerLoad * above, minRetrySeconds,
                                   maxRetrySeconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait * jitter(m_random)));
}

void admission_controller::onProgramEnd(const std::string &programClass, duration latency)
{
    const double taken = std::chrono::duration<double>(latency).count();
    const auto [it, first] = m_latency.try_emplace(programClass, taken);
    if (!first)
        it->second += latencySmoothing * (taken - it->second);
}

} // namespace azurehill
