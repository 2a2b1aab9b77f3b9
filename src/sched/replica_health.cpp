#include "sched/replica_health.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr double sampleSmoothing = 0.2;
constexpr double typicalSmoothing = 0.01;
constexpr double outlierFactor = 4;
constexpr int samplesBeforeEjection = 3;
constexpr int failuresBeforeEjection = 3;
constexpr int successesToClose = 5;
constexpr int maxEjectionDoublings = 4;
constexpr duration firstEjection = seconds(5);
constexpr duration probeInterval = seconds(2);

} // namespace

void replica_health::sample(health &h, double slowness)
{
    // The typical slowness may be far from 1. A new replica starts at the typical value, so that
    // it is not taken for an outlier.
    if (!h.known)
        h.slowness = m_typicalSlowness;
    h.known = true;
    h.slowness += sampleSmoothing * (slowness - h.slowness);
    ++h.samples;
    // Samples are capped so that one slow replica does not shift the typical slowness.
    m_typicalSlowness
        += typicalSmoothing * (std::min(slowness, 2 * m_typicalSlowness) - m_typicalSlowness);
}

void replica_health::eject(health &h, time_point now)
{
    h.openUntil = now + firstEjection * (1 << std::min(h.ejections, maxEjectionDoublings));
    ++h.ejections;
    h.successesNeeded = successesToClose;
    h.samples = 0;
    h.failuresInRow = 0;
}

void replica_health::onSuccess(replica_index index, double slowness, time_point now)
{
    health &h = m_health[index];
    sample(h, slowness);
    h.failuresInRow = 0;
    const bool outlier = h.slowness > outlierFactor * m_typicalSlowness;
    if (now < h.openUntil)
        return;
    if (h.successesNeeded > 0 && slowness < outlierFactor * m_typicalSlowness) {
        h.slowness = std::min(h.slowness, slowness);
        if (--h.successesNeeded == 0)
            h.ejections = 0;
    } else if (outlier && (h.samples >= samplesBeforeEjection || h.successesNeeded > 0)) {
        eject(h, now);
    }
}

void replica_health::onFailure(replica_index index, time_point now)
{
    health &h = m_health[index];
    ++h.failuresInRow;
    if (now < h.openUntil)
        return;
    if (h.successesNeeded > 0 || h.failuresInRow >= failuresBeforeEjection)
        eject(h, now);
}

void replica_health::onOverdue(replica_index index, double slowness, time_point now)
{
    health &h = m_health[index];
    if (slowness <= outlierFactor * m_typicalSlowness || now < h.openUntil)
        return;
    h.slowness = std::max(h.slowness, slowness);
    h.known = true;
    eject(h, now);
}

void replica_health::onSent(replica_index index, time_point now)
{
    if (const auto it = m_health.find(index); it != m_health.end())
        it->second.probedAt = now;
}

circuit_state replica_health::state(replica_index index, time_point now) const
{
    const auto it = m_health.find(index);
    if (it == m_health.end())
        return circuit_state::Closed;
    if (now < it->second.openUntil)
        return circuit_state::Open;
    return it->second.successesNeeded > 0 ? circuit_state::HalfOpen : circuit_state::Closed;
}

bool replica_health::mayReceiveCall(replica_index index, time_point now) const
{
    switch (state(index, now)) {
    case circuit_state::Closed:
        return true;
    case circuit_state::Open:
        return false;
    case circuit_state::HalfOpen:
        return now - m_health.at(index).probedAt >= probeInterval;
    }
    return true;
}

double replica_health::slowness(replica_index index) const
{
    const auto it = m_health.find(index);
    if (it == m_health.end() || !it->second.known)
        return 1;
    // The slowness common to all replicas comes from errors of the estimates; only the ratio to
    // the peers matters.
    return std::clamp(it->second.slowness / m_typicalSlowness, 0.5, 20.0);
}

} // namespace azurehill
