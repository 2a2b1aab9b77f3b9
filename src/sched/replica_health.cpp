#include "sched/replica_health.h"

#include <algorithm>

namespace azurehill {

namespace {

constexpr double sampleWeight = 0.2;
constexpr double typicalWeight = 0.01;
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
    // What counts as typical may be far from 1: a new replica begins there, not as an outlier.
    if (!h.known)
        h.slowness = m_typical;
    h.known = true;
    h.slowness += sampleWeight * (slowness - h.slowness);
    ++h.samples;
    // One slow replica must not move what counts as typical.
    m_typical += typicalWeight * (std::min(slowness, 2 * m_typical) - m_typical);
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
    const bool outlier = h.slowness > outlierFactor * m_typical;
    if (now < h.openUntil)
        return;
    if (h.successesNeeded > 0 && slowness < outlierFactor * m_typical) {
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
    if (slowness <= outlierFactor * m_typical || now < h.openUntil)
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

circuit replica_health::state(replica_index index, time_point now) const
{
    const auto it = m_health.find(index);
    if (it == m_health.end())
        return circuit::Closed;
    if (now < it->second.openUntil)
        return circuit::Open;
    return it->second.successesNeeded > 0 ? circuit::Returning : circuit::Closed;
}

bool replica_health::mayTake(replica_index index, time_point now) const
{
    switch (state(index, now)) {
    case circuit::Closed:
        return true;
    case circuit::Open:
        return false;
    case circuit::Returning:
        return now - m_health.at(index).probedAt >= probeInterval;
    }
    return true;
}

double replica_health::slowness(replica_index index) const
{
    const auto it = m_health.find(index);
    if (it == m_health.end() || !it->second.known)
        return 1;
    // Part of the slowness of all is in the estimates; only the difference to peers matters.
    return std::clamp(it->second.slowness / m_typical, 0.5, 20.0);
}

} // namespace azurehill
