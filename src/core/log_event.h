#pragma once

#include "core/log.h"

#include <array>
#include <string_view>

namespace azurehill {

/// \brief Events in a daemon's log: scheduling decisions for a request, and changes of the state
/// that the daemon observes. docs/LOGS.md describes each event and its fields.
enum class log_event {
    Started,
    Stopping,
    Stopped,
    Reloaded,
    LimitsExceedMemory,
    MemoryShort,
    BadSettings,
    ListenFailed,
    ConfigurationAdopted,
    ConfigurationUnreadable,
    ReplicasAdopted,
    ReplicasOutdated,
    ReplicasRefreshed,
    ReplicaListed,
    ReplicaDraining,
    ReplicaRestarted,
    ReplicaGone,
    ReplicaRowUnreadable,
    ReplicaEjected,
    ReplicaReinstated,
    MemberBack,
    MemberGone,
    GossipUnreadable,
    StoreUnreachable,
    StoreRecovered,
    TrafficCounted,
    QuotaShardAcquired,
    QuotaShardTakenOver,
    QuotaShardLost,
    DeregistrationFailed,
    RowUnreadable,
    RowsDropped,
    TurnNotLoaded,
    TokensReserved,
    ReservationNotSettled,
    RequestAdmitted,
    RequestNotAdmitted,
    Sent,
    SendWithheld,
    SendEnded,
    SendLost,
    RequestQuarantined,
    QuarantineLifted,
    QuarantineRestored,
    EvidenceWriteFailed,
    SilentReplicaProbed,
    ReplicaProbed,
    TurnDurable,
    TurnNotDurable,
    TurnInterrupted,
    Answered,
    LocalReply,
    LogDropped,
    DispatcherStarted,
    DispatcherLoad,
    DispatcherUnreachable,
    SlotGranted,
    SlotRefused,
    TokensHeldAhead,
};

template <>
struct enum_names<log_event>
{
    static constexpr std::array<std::string_view, 59> names = {"started",
                                                               "stopping",
                                                               "stopped",
                                                               "reloaded",
                                                               "limits_exceed_memory",
                                                               "memory_short",
                                                               "bad_settings",
                                                               "cant_listen",
                                                               "configuration_adopted",
                                                               "configuration_unreadable",
                                                               "replicas_adopted",
                                                               "replicas_outdated",
                                                               "replicas_refreshed",
                                                               "replica_listed",
                                                               "replica_draining",
                                                               "replica_restarted",
                                                               "replica_gone",
                                                               "replica_row_unreadable",
                                                               "replica_doubted",
                                                               "replica_trusted",
                                                               "member_back",
                                                               "member_gone",
                                                               "gossip_unreadable",
                                                               "store_lost",
                                                               "store_regained",
                                                               "traffic_counted",
                                                               "quota_held",
                                                               "quota_taken",
                                                               "quota_lost",
                                                               "not_unregistered",
                                                               "row_unreadable",
                                                               "rows_dropped",
                                                               "turn_not_loaded",
                                                               "tokens_held",
                                                               "hold_not_settled",
                                                               "place_granted",
                                                               "place_not_granted",
                                                               "sent",
                                                               "send_withheld",
                                                               "send_ended",
                                                               "send_lost",
                                                               "request_quarantined",
                                                               "quarantine_lifted",
                                                               "quarantine_restored",
                                                               "evidence_not_written",
                                                               "silence_checked",
                                                               "replica_checked",
                                                               "turn_durable",
                                                               "turn_not_durable",
                                                               "turn_broke_off",
                                                               "answered",
                                                               "own_answer",
                                                               "log_dropped",
                                                               "dispatcher_started",
                                                               "dispatcher_load",
                                                               "dispatcher_unreachable",
                                                               "slot_granted",
                                                               "slot_refused",
                                                               "tokens_held_ahead"};
};

/// \returns the level at which \p event is logged.
constexpr log_level levelOf(log_event event)
{
    switch (event) {
    case log_event::BadSettings:
    case log_event::ListenFailed:
    case log_event::ConfigurationUnreadable:
    case log_event::RowUnreadable:
    case log_event::ReplicasOutdated:
        return log_level::Error;
    case log_event::LimitsExceedMemory:
    case log_event::MemoryShort:
    case log_event::ReplicaRowUnreadable:
    case log_event::ReplicaEjected:
    case log_event::MemberGone:
    case log_event::GossipUnreadable:
    case log_event::StoreUnreachable:
    case log_event::QuotaShardLost:
    case log_event::DeregistrationFailed:
    case log_event::TurnNotLoaded:
    case log_event::ReservationNotSettled:
    case log_event::RequestNotAdmitted:
    case log_event::TurnNotDurable:
    case log_event::TurnInterrupted:
    case log_event::LocalReply:
    case log_event::LogDropped:
    case log_event::DispatcherUnreachable:
    case log_event::SlotRefused:
    case log_event::RequestQuarantined:
    case log_event::EvidenceWriteFailed:
        return log_level::Warning;
    default:
        return log_level::Info;
    }
}

/// \brief Logs \p event to the log sink in use without blocking; a line over the rate limit or the
/// size of the buffer is dropped and counted. Without a sink the line goes to standard error.
void logDecision(log_event event, std::initializer_list<log_field> fields = {});

} // namespace azurehill
