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
    EngineGate,
    /// The bound on places starts from the replicas' slots, and ends a little above them.
    FillSlots,
    /// Prompt tokens that a replica would read are priced for the requests that it would hold up.
    CrowdedReads,
    /// Parts that many programs share count as cached wherever a replica has run for a while.
    SharedParts,
    /// A replica whose answers begin later than its peers' counts as slower.
    LearnedSlowness,
    /// Writes keep to the daemon's part of the store's rate, most urgent first.
    PacedWrites,
    /// Writes that have to wait go in one transaction.
    MergedWrites,
    /// A call beyond the store's rate is made again and is no sign of an outage.
    LimitIsNoOutage,
    /// Calls that the store does not answer here are made through another daemon.
    PeerCalls,
    /// Daemons read the replicas' entries by turns, and take changes from each other.
    TableTurns,
    /// The turns of a session whose caller keeps its history go to the replica that hashing names.
    SessionHomes,
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
    bool has(mechanism m) const { return !m_off.test(static_cast<std::size_t>(m)); }
    void switchOff(mechanism m) { m_off.set(static_cast<std::size_t>(m)); }
    /// \returns the names of those that are off, separated by commas.
    std::string offNames() const;

private:
    std::bitset<enum_names<mechanism>::names.size()> m_off;
};

/// \brief Switches off the mechanisms named in \p list, separated by commas.
/// \returns the name that is none, or an empty text.
std::string switchOffByName(mechanism_set &mechanisms, std::string_view list);

} // namespace azurehill
