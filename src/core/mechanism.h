#pragma once

#include "core/enum_names.h"

#include <bitset>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Parts of the scheduling policy that can be disabled by name for ablation measurements.
/// docs/DECISIONS.md has the results.
enum class mechanism {
    /// Admission control: a limit on the requests in flight per service. Requests over the limit
    /// are queued in order of the benefit of serving them.
    EngineAdmission,
    /// The initial value and the maximum of the concurrency limit derive from the number of slots
    /// of the replicas; the maximum is slightly above it.
    SlotBasedLimits,
    /// The cost of a replica includes the delay of its other requests while it reads the uncached
    /// tokens of the prompt.
    PrefillInterference,
    /// Prompt parts that many programs share count as cached on every replica that has been listed
    /// longer than the warm-up time.
    SharedPromptParts,
    /// A replica's slowness factor is learned from its time to first byte compared with that of its
    /// peers.
    LearnedSlowness,
    /// Writes are paced to the daemon's share of the store's rate limit, the most urgent first.
    PacedWrites,
    /// Queued writes are batched into one transaction.
    BatchedWrites,
    /// A call that the store rejects for its rate limit is retried and does not count as an outage.
    RateLimitIsNoOutage,
    /// If the store is unreachable from this daemon, calls go through another daemon.
    PeerStoreCalls,
    /// Daemons share the polling of the replica table and fetch changes from each other.
    SharedTablePolling,
    /// Session affinity: the turns of a session whose caller keeps its history go to a replica
    /// chosen by rendezvous hashing.
    SessionAffinity,
    /// One daemon dispatches the turns of client-history programs to the engines of a group: it
    /// decides which programs begin and which replica serves a turn.
    ProgramDispatch,
    /// The cost of a replica includes a new connection if this daemon has no idle one to it, so
    /// that connections are reused among near-equal replicas.
    ReusedConnections,
    /// A plain replica that refused a request because it is full is avoided by this daemon for a
    /// short time.
    ShedBackoff,
};

template <>
struct enum_names<mechanism>
{
    static constexpr std::array<std::string_view, 14> names
        = {"engine_gate",        "fill_slots",   "crowded_reads", "shared_parts",
           "learned_slowness",   "paced_writes", "merged_writes", "limit_is_no_outage",
           "peer_calls",         "table_turns",  "session_homes", "program_dispatch",
           "reused_connections", "shed_backoff"};
};

/// \brief Set of the enabled mechanisms; by default all are enabled.
class mechanism_set
{
public:
    bool has(mechanism m) const { return !m_disabled.test(static_cast<std::size_t>(m)); }
    void disable(mechanism m) { m_disabled.set(static_cast<std::size_t>(m)); }
    /// \returns the names of the disabled mechanisms, separated by commas.
    std::string disabledNames() const;

private:
    std::bitset<enum_names<mechanism>::names.size()> m_disabled;
};

/// \brief Disables the mechanisms in the comma-separated \p list.
/// \returns the first unknown name, at which processing stops, or an empty string if all are known.
std::string disableByName(mechanism_set &mechanisms, std::string_view list);

} // namespace azurehill
