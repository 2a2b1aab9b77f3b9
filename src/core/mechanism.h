#pragma once

#include "core/enum_names.h"

#include <bitset>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Parts of the policy that can be switched off by name, to measure what each is worth.
/// docs/DECISIONS.md has the figures.
enum class mechanism {
    /// Requests wait for a place at a service's engines, ordered by what they can win.
    EngineAdmission,
    /// The bound on places starts from the replicas' slots, and ends a little above them.
    SlotBasedLimits,
    /// Prompt tokens that a replica would read are priced for the requests that it would hold up.
    PrefillInterference,
    /// Parts that many programs share count as cached wherever a replica has run for a while.
    SharedPromptParts,
    /// A replica whose answers begin later than its peers' counts as slower.
    LearnedSlowness,
    /// Writes keep to the daemon's part of the store's rate, most urgent first.
    PacedWrites,
    /// Writes that have to wait go in one transaction.
    BatchedWrites,
    /// A call beyond the store's rate is made again and is no sign of an outage.
    RateLimitIsNoOutage,
    /// Calls that the store does not answer here are made through another daemon.
    PeerStoreCalls,
    /// Daemons read the replicas' entries by turns, and take changes from each other.
    SharedTablePolling,
    /// The turns of a session whose caller keeps its history go to the replica that hashing names.
    SessionAffinity,
};

template <>
struct enum_names<mechanism>
{
    static constexpr std::array<std::string_view, 11> names
        = {"engine_gate",      "fill_slots",   "crowded_reads", "shared_parts",
           "learned_slowness", "paced_writes", "merged_writes", "limit_is_no_outage",
           "peer_calls",       "table_turns",  "session_homes"};
};

/// \brief Which mechanisms are on; all of them unless told otherwise.
class mechanism_set
{
public:
    bool has(mechanism m) const { return !m_disabled.test(static_cast<std::size_t>(m)); }
    void disable(mechanism m) { m_disabled.set(static_cast<std::size_t>(m)); }
    /// \returns the names of those that are off, separated by commas.
    std::string disabledNames() const;

private:
    std::bitset<enum_names<mechanism>::names.size()> m_disabled;
};

/// \brief Switches off the mechanisms named in \p list, separated by commas.
/// \returns the name that is none, or an empty text.
std::string disableByName(mechanism_set &mechanisms, std::string_view list);

} // namespace azurehill
