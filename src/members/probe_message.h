#pragma once

#include "members/member_update.h"
#include "replicas/place_division.h"
#include "replicas/replica_reports.h"
#include "rows/table_cache.h"

namespace azurehill {

enum class probe_kind {
    /// Asks the receiver for an Ack.
    Ping,
    /// Answers a Ping, or tells something unasked with the sequence number 0.
    Ack,
    /// Asks the receiver to ping another daemon, and to pass its Ack on.
    IndirectPing,
};

template <>
struct enum_names<probe_kind>
{
    static constexpr std::array<std::string_view, 3> names = {"ping", "ack", "indirect_ping"};
};

/// \brief One datagram between daemons.
struct probe_message
{
    probe_kind kind = probe_kind::Ping;
    /// The sender's own number of a Ping, which its Ack repeats.
    std::uint64_t sequence = 0;
    daemon_id sender;
    /// The sender's last word of itself.
    std::int64_t incarnation = 0;
    std::uint64_t version = 0;
    /// Whether the sender does not know the receiver's last word of itself, and wants to hear it.
    bool requestsState = false;
    /// Whom to ping; for IndirectPing only.
    std::optional<endpoint> target;
    /// What the sender wants of the engines, and what it holds to be right there.
    concurrency_reports words;
    /// What the sender has seen of replicas that fail requests, or failed them.
    replica_reports replicaWords;
    /// The sender's copy of the replicas' entries; in an Ack of a Ping only, whose receiver knows
    /// how old it may be by now.
    std::optional<table_digest> replicas;
    std::vector<member_update> updates;
};

/// \returns \p message as the text of a datagram.
std::string encodeProbe(const probe_message &message);
/// \returns the message in \p text, or nothing when it can't be read.
std::optional<probe_message> decodeProbe(std::string_view text);

} // namespace azurehill
