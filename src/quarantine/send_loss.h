#pragma once

#include "core/enum_names.h"
#include "core/runtime_clock.h"

namespace azurehill {

/// \brief How a send to a replica was lost. Every send is lost that was sent, was not refused, and
/// whose whole answer did not arrive.
///
/// None of these shows whether the replica's process ended: a process that ended may look like any
/// of them, and so may one that lives on.
enum class send_loss {
    /// The replica's side ended the connection or the answer too early.
    ConnectionEnded,
    /// Bytes arrived that are no answer to the request, and this daemon closed the connection.
    Malformed,
    /// This daemon gave up the send: the replica was silent, a timeout passed, the client left, or
    /// the daemon stopped.
    GivenUp,
    /// The answer is whole only if the replica meant to end its connection there.
    EndedWithConnection
};

template <>
struct enum_names<send_loss>
{
    static constexpr std::array<std::string_view, 4> names
        = {"connection_ended", "malformed", "given_up", "ended_with_connection"};
};

/// \brief What the daemon that lost a send observed of it.
struct loss_observation
{
    send_loss loss = send_loss::ConnectionEnded;
    /// Until when an end of the process counts as one under the request.
    time_point mayEndUntil;
    /// Whether the replica had announced that it leaves, and its drain time was over: it may have
    /// ended as planned.
    bool wasLeaving = false;
};

} // namespace azurehill
