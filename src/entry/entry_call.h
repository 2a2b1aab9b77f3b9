#pragma once

#include "entry/client_request.h"
#include "entry/request_rank.h"
#include "http/http_client.h"
#include "quota/credit_ledger.h"
#include "routes/routes.h"
#include "runtime/timer.h"

#include <memory>

namespace azurehill {

/// \brief Why a send was ended from outside.
enum class abort_reason {
    None,
    ClientDisconnected,
    DeadlineExceeded,
    ReplicaSilent,
    AttemptTimeout
};

template <>
struct enum_names<abort_reason>
{
    static constexpr std::array<std::string_view, 5> names
        = {"none", "client_left", "time_over", "replica_silent", "attempt_time_over"};
};

/// \brief One client request on its way through the daemon. Used on the traffic thread.
struct entry_call
{
    client_request request;
    /// Holds the route that \c route points into.
    routing_config_ptr routes;
    const route_rule *route = nullptr;
    /// Path that the request asks for.
    std::string path;
    /// The account of the request's key, part of \c routes, or null.
    const account_config *account = nullptr;
    request_rank rank;
    std::string service;
    time_point arrivedAt;
    /// When the route's timeout or the client's patience ends.
    time_point deadline;

    /// The connection of the send under way, or null.
    http_connection *connection = nullptr;
    replica_incarnation replica;
    endpoint replicaAddress;
    /// When the replica last took a connection after it had been silent.
    time_point replicaAliveAt;
    time_point sentAt;
    time_point lastByteAt;
    /// When the send under way is given up in favour of another replica, if ever.
    std::optional<time_point> attemptDeadline;
    abort_reason cut = abort_reason::None;
    /// Bytes of the answer went out to the client.
    bool begun = false;
    /// The answer was the daemon's own.
    bool isLocalReply = false;
    /// Its program went on from earlier turns, so far as is known here.
    bool isLaterTurn = false;
    /// Sends that count against the attempts of its route.
    int sends = 0;
    /// The last event that went out to the client, if its stream goes on at a replica; or empty.
    std::string lastEventId;
    /// Whether the request holds a place at the engines of its service.
    bool holdsEngineSlot = false;
    /// Ends the wait for a place, or null.
    timer *admissionTimer = nullptr;
    /// Some replica may have worked on the request.
    bool mayHaveRun = false;
    /// The credit of its account that the request uses, if its account has a quota.
    std::optional<credit_id> credit;

    /// \returns the name of the request's account, or an empty one.
    account_id accountName() const { return account ? account->name : account_id(); }
    bool clientDisconnected() const { return cut == abort_reason::ClientDisconnected; }
    /// \brief Ends the send under way.
    void abortSend(abort_reason reason)
    {
        if (cut != abort_reason::ClientDisconnected)
            cut = reason;
        if (connection)
            connection->close();
        if (admissionTimer)
            admissionTimer->cancel();
    }
};

using entry_call_ptr = std::shared_ptr<entry_call>;

} // namespace azurehill
