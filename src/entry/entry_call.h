#pragma once

#include "entry/call_memory.h"
#include "entry/client_request.h"
#include "entry/request_rank.h"
#include "http/http_client.h"
#include "quarantine/request_fingerprint.h"
#include "quota/credit_ledger.h"
#include "routes/routes.h"
#include "runtime/timer.h"

#include <memory>

namespace azurehill {

/// \brief Why a send was aborted.
enum class abort_reason {
    None,
    ClientDisconnected,
    DeadlineExceeded,
    ReplicaSilent,
    AttemptTimeout,
    /// Replicas ended under the request, or may have.
    Quarantined,
    /// The daemon stops before the request can end.
    ShuttingDown
};

template <>
struct enum_names<abort_reason>
{
    static constexpr std::array<std::string_view, 7> names
        = {"none",        "client_left",  "time_over", "replica_silent", "attempt_time_over",
           "quarantined", "shutting_down"};
};

/// \brief State of one client request while it is being served. Used on the traffic thread.
struct entry_call
{
    client_request request;
    /// Keeps the configuration alive that \c route points into.
    routing_config_ptr routes;
    const route_rule *route = nullptr;
    /// The same in all attempts of the request.
    request_fingerprint fingerprint;
    /// Path of the request.
    std::string path;
    /// The account of the request's key, part of \c routes, or null.
    const account_config *account = nullptr;
    request_rank rank;
    std::string service;
    time_point arrivedAt;
    /// Earlier end of the route's timeout and the client's timeout.
    time_point deadline;

    /// What is held for the call beside the request.
    call_memory memory;
    /// Connection of the current send, or null.
    http_connection *connection = nullptr;
    replica_incarnation replica;
    endpoint replicaAddress;
    /// When the replica last accepted a connection after it had been silent.
    time_point replicaAliveAt;
    /// From when on that replica may leave, if it is known to drain.
    std::optional<time_point> replicaLeavesAt;
    time_point sentAt;
    time_point lastByteAt;
    /// When the current send is aborted in favour of another replica, if ever.
    std::optional<time_point> attemptDeadline;
    abort_reason abortReason = abort_reason::None;
    /// Whether bytes of the answer were sent to the client.
    bool responseStarted = false;
    /// Whether the daemon itself answered in place of a replica.
    bool isLocalReply = false;
    /// Whether the request continues earlier turns of its program, according to the state of this
    /// daemon.
    bool isLaterTurn = false;
    /// Number of sends that count towards the maximum attempts of its route.
    int sends = 0;
    /// Id of the last event sent to the client, after which a replica resumes the stream; or empty.
    std::string lastEventId;
    /// Whether the request is admitted to the engines of its service.
    bool holdsEngineSlot = false;
    /// Timer of the wait for admission, which ends when it is cancelled; or null.
    timer *admissionTimer = nullptr;
    /// Whether the request was sent to a replica that did not refuse it.
    bool wasSent = false;
    /// Whether a replica may have run the request.
    bool mayHaveRun = false;
    /// The credit of its account that the request uses, if its account has a quota.
    std::optional<credit_id> credit;

    /// \returns the name of the request's account, or an empty one.
    account_id accountName() const { return account ? account->name : account_id(); }
    bool clientDisconnected() const { return abortReason == abort_reason::ClientDisconnected; }
    /// \returns whether the request may still be sent: its client waits, and the daemon goes on.
    bool isWanted() const
    {
        return abortReason != abort_reason::ClientDisconnected
            && abortReason != abort_reason::ShuttingDown;
    }
    /// \brief Aborts the current send and the wait for admission.
    void abortSend(abort_reason reason)
    {
        if (abortReason != abort_reason::ClientDisconnected)
            abortReason = reason;
        if (connection)
            connection->close();
        if (admissionTimer)
            admissionTimer->cancel();
    }
};

using entry_call_ptr = std::shared_ptr<entry_call>;

} // namespace azurehill
