#pragma once

#include "core/core.h"
#include "replicas/replica_incarnation.h"
#include "replicas/replica_load_balancer.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace azurehill {

/// \brief An engine that accepts requests, as listed for its group's dispatcher.
struct engine_replica
{
    replica_incarnation incarnation;
    /// Requests that the engine processes concurrently.
    int slots = 1;
};

/// \brief Engines of one group: their slots in use, speed and health, as seen by all daemons.
///
/// An engine queues requests beyond its slots without regard to their programs, so no more than
/// that many are granted.
class replica_pool
{
public:
    explicit replica_pool(std::uint64_t seed) : m_random(seed) { }

    /// \brief Sets the engines that accept requests. Requests in flight at others stay counted
    /// until they are released.
    void setReplicas(const std::vector<engine_replica> &listed);

    /// \brief Takes a slot of \p who; beyond its slots only for requests that were granted by an
    /// earlier dispatcher.
    void acquire(const replica_incarnation &who);
    /// \brief Frees a slot of \p who, whose request ended with \p outcome.
    /// \param msPerEvent mean time between the events of the answer; 0 if unknown.
    void release(const replica_incarnation &who, send_outcome outcome, double msPerEvent,
                 time_point now);

    /// \returns whether \p who accepts a further request at \p now.
    bool hasFreeSlot(const replica_incarnation &who, time_point now) const;
    /// \returns whether \p who is listed and not ejected at \p now.
    bool isAvailable(const replica_incarnation &who, time_point now) const;
    /// \returns the replica with a free slot that a new session is expected to run fastest at.
    std::optional<replica_incarnation> leastLoaded(time_point now);
    /// \brief Adds \p change to the number of active sessions assigned to \p who.
    void addSessions(const replica_incarnation &who, int change);

    /// \returns the sum of the slots of the available replicas.
    int slots(time_point now) const;
    /// \returns the sum of their free slots.
    int freeSlots(time_point now) const;
    int inFlight() const { return m_inFlight; }
    int ejected(time_point now) const;

private:
    struct replica_state
    {
        int slots = 1;
        bool isListed = false;
        int inFlight = 0;
        /// Active sessions whose turns are sent here.
        int sessions = 0;
        double msPerEvent = 0;
        int samples = 0;
        int failuresInRow = 0;
        int ejections = 0;
        time_point ejectedUntil;
        /// The replica refused a request until then, so it is full for other reasons.
        time_point fullUntil;
    };

    /// \returns time per event as a multiple of the group's mean; 1 until there are enough samples.
    double slowness(const replica_state &r) const;
    bool isAvailable(const replica_state &r, time_point now) const;
    bool hasFreeSlot(const replica_state &r, time_point now) const;
    int freeSlots(const replica_state &r, time_point now) const;
    /// \returns whether so many replicas fail that the requests are assumed to cause the failures.
    bool failsEverywhere() const;
    void recordOutcome(replica_state &r, send_outcome outcome, time_point now);
    void eject(replica_state &r, time_point now);
    void recordSpeed(replica_state &r, double msPerEvent);

    std::minstd_rand m_random;
    std::map<replica_incarnation, replica_state> m_replicas;
    int m_listed = 0;
    int m_inFlight = 0;
    double m_meanMsPerEvent = 0;
};

} // namespace azurehill
