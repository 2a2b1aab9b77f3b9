#include "sched/admission_controller.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr double latencySmoothing = 0.05;
constexpr double minRetrySeconds = 1;
constexpr double maxRetrySeconds = 20;
constexpr double retrySecondsPerLoad = 10;

} // namespace

std::optional<duration> admission::refuse(const program_request &request,
                                          const admission_state &view)
{
    const bool full = view.pressure > m_parameters.maxCallsPerSlot;
    const bool aboveShare = view.pressure > m_parameters.fairShareCallsPerSlot
        && view.excess > m_parameters.shareExcessTolerance;
    const bool tooMany = view.tenantPrograms >= request.tenantLimit;
    if (!full && !aboveShare && !tooMany && !missesDeadline(request, view))
        return std::nullopt;
    return comeBack(view.pressure);
}

bool admission::missesDeadline(const program_request &request, const admission_state &view) const
{
    // Without pressure the past is no reason to refuse: else nobody would get in to change it.
    if (!request.limit || view.pressure < m_parameters.fairShareCallsPerSlot)
        return false;
    const auto known = m_latency.find(request.programClass);
    return known != m_latency.end()
        && known->second > std::chrono::duration<double>(*request.limit).count();
}

duration admission::comeBack(double pressure)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double above = std::max(pressure - m_parameters.fairShareCallsPerSlot, 0.0);
    const double wait = std::clamp(minRetrySeconds + retrySecondsPerLoad * above, minRetrySeconds,
                                   maxRetrySeconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait * jitter(m_random)));
}

void admission::onProgramEnd(const std::string &programClass, duration latency)
{
    const double taken = std::chrono::duration<double>(latency).count();
    const auto [it, first] = m_latency.try_emplace(programClass, taken);
    if (!first)
        it->second += latencySmoothing * (taken - it->second);
}

} // namespace azurehill
