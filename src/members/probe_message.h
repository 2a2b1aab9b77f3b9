#pragma once

#include "members/member_update.h"
#include "replicas/place_division.h"
#include "replicas/replica_reports.h"
#include "rows/table_cache.h"

namespace azurehill {

enum class probe_kind {
    /// Asks the receiver for an Ack.
    Ping,
    /// Answers a Ping; with sequence number 0, an unsolicited notice.
    Ack,
    /// Asks the receiver to ping another daemon and to relay its Ack.
    IndirectPing,
};

template <>
struct enum_names<probe_kind>
{
    static constexpr std::array<std::string_view, 3> names = {"ping", "ack", "indirect_ping"};
};

/// \brief SWIM message between daemons, sent as one datagram.
struct probe_message
{
    probe_kind kind = probe_kind::Ping;
    /// Number of the Ping, chosen by its sender and repeated in the Ack.
    std::uint64_t sequence = 0;
    daemon_id sender;
    /// The sender's current incarnation and version.
    std::int64_t incarnation = 0;
    std::uint64_t version = 0;
    /// Whether the sender requests the receiver's own state, since it does not know the latest.
    bool requestsState = false;
    /// Address to ping; for IndirectPing only.
    std::optional<endpoint> target;
    /// The sender's demand at the engines of each service, and the load per replica that it
    /// considers right.
    concurrency_reports demandReports;
    /// The sender's observations of replicas that fail requests, or did so recently.
    replica_reports replicaReports;
    /// Digest of the sender's copy of the replica table. Only in the Ack of a Ping, since its
    /// receiver can bound the digest's age by the time of the Ping.
    std::optional<table_digest> replicas;
    std::vector<member_update> updates;
};

/// \returns \p message as JSON text.
std::string encodeProbe(const probe_message &message);
/// \returns the message in \p text, or nothing if it is malformed.
std::optional<probe_message> decodeProbe(std::string_view text);

} // namespace azurehill
