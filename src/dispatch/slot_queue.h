#pragma once

#include "core/core.h"
#include "dispatch/slot_message.h"
#include "replicas/concurrency_limiter.h"

#include <functional>
#include <map>
#include <tuple>

namespace azurehill {

/// \brief A turn that waits for a slot.
struct queued_turn
{
    slot_request request;
    /// Whether it is the first turn of a program that has not begun.
    bool isFirst = false;
    time_point queuedAt;
    /// When it is refused if it was not granted before.
    time_point expiresAt;
    /// Until when it waits for a slot at the replica that has its prompt cached.
    time_point waitsForReplicaUntil;
    /// Number of grants of its class when it was queued.
    std::uint64_t grantsOnArrival = 0;
};

/// \brief Order of a queued turn; the lowest is granted first.
struct slot_priority
{
    /// Later turns precede first turns: refusing a first turn costs its caller little, while a
    /// later one carries all work of its program so far.
    bool isFirst = false;
    deadline_feasibility feasibility = deadline_feasibility::OnTime;
    int rank = 0;
    bool isOverShare = false;
    duration slack = duration::zero();

    friend auto operator<=>(const slot_priority &, const slot_priority &) = default;
};

/// \brief Priority queue of the turns that wait for a slot of a group.
class slot_queue
{
public:
    void add(const slot_priority &priority, queued_turn turn);
    /// \returns the removed turn, or nothing if \p ticket is not queued.
    std::optional<queued_turn> remove(const slot_ticket &ticket);
    const queued_turn *find(const slot_ticket &ticket) const;

    /// \returns the turn to grant next among those that \p isEligible accepts, or null. To prevent
    /// starvation, one grant in some goes to the turn that arrived first of those that many others
    /// have overtaken.
    /// \param isFirst whether to choose among first or among later turns.
    const queued_turn *next(bool isFirst,
                            const std::function<bool(const queued_turn &)> &isEligible) const;
    /// \brief Counts a grant of a first or later turn.
    void onGranted(bool isFirst) { ++m_grants[isFirst ? 1 : 0]; }

    /// \returns the place of the queued \p ticket among the first turns, 1 for the next one.
    int firstTurnsUpTo(const slot_ticket &ticket) const;
    /// \brief Recomputes all priorities.
    void reorder(const std::function<slot_priority(const queued_turn &)> &priorityOf);
    /// \returns the tickets of the turns that \p matches accepts.
    std::vector<slot_ticket> select(const std::function<bool(const queued_turn &)> &matches) const;

    int size(bool isFirst) const { return m_sizes[isFirst ? 1 : 0]; }
    bool empty() const { return m_turns.empty(); }

private:
    /// The second part is the order of arrival.
    using queue_key = std::pair<slot_priority, std::uint64_t>;

    const queued_turn *overtaken(bool isFirst,
                                 const std::function<bool(const queued_turn &)> &isEligible) const;

    std::map<queue_key, queued_turn> m_turns;
    std::map<slot_ticket, queue_key> m_keys;
    std::uint64_t m_lastArrival = 0;
    /// Grants and queued turns of later and of first turns.
    std::uint64_t m_grants[2] = {0, 0};
    int m_sizes[2] = {0, 0};
};

} // namespace azurehill
