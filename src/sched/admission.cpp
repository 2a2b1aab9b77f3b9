#include "sched/admission.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr double latencyWeight = 0.05;
constexpr double shortestWait = 1;
constexpr double longestWait = 20;
constexpr double waitPerPressure = 10;

} // namespace

std::optional<duration> admission::refuse(const program_request &request,
                                          const admission_view &view)
{
    const bool full = view.pressure > m_knobs.fullPressure;
    const bool aboveShare
        = view.pressure > m_knobs.sharePressure && view.excess > m_knobs.notableExcess;
    const bool tooMany = view.tenantPrograms >= request.tenantLimit;
    if (!full && !aboveShare && !tooMany && !missesDeadline(request, view))
        return std::nullopt;
    return comeBack(view.pressure);
}

bool admission::missesDeadline(const program_request &request, const admission_view &view) const
{
    // Without pressure the past is no reason to refuse: else nobody would get in to change it.
    if (!request.limit || view.pressure < m_knobs.sharePressure)
        return false;
    const auto known = m_latency.find(request.programClass);
    return known != m_latency.end()
        && known->second > std::chrono::duration<double>(*request.limit).count();
}

duration admission::comeBack(double pressure)
{
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    const double above = std::max(pressure - m_knobs.sharePressure, 0.0);
    const double wait
        = std::clamp(shortestWait + waitPerPressure * above, shortestWait, longestWait);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait * jitter(m_random)));
}

void admission::onProgramEnd(const std::string &programClass, duration latency)
{
    const double taken = std::chrono::duration<double>(latency).count();
    const auto [it, first] = m_latency.try_emplace(programClass, taken);
    if (!first)
        it->second += latencyWeight * (taken - it->second);
}

} // namespace azurehill
