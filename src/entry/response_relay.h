#pragma once

#include "entry/engine_admission.h"
#include "entry/local_reply_writer.h"
#include "entry/stream_result.h"
#include "entry/upstream_sender.h"

#include <string>

namespace azurehill {

/// \brief How much of an answer was read.
enum class body_read {
    Complete,
    /// There is more, which is to be streamed.
    Partial,
    /// The answer broke off.
    Broken
};

/// \brief Relays replicas' answers to clients. Used on the traffic thread.
class response_relay
{
public:
    /// Answers up to this size are buffered completely before their first byte is sent to the
    /// client, so that the request can be retried at another replica if the answer breaks off.
    static constexpr std::size_t maxBufferedBytes = 256U << 10U;
    /// Size beyond which a stream of events is no answer of an engine, and is broken off.
    static constexpr std::size_t maxStreamBytes = 16U << 20U;
    /// Maximum size of the output of a turn that the daemon keeps.
    static constexpr std::size_t maxOutputBytes = 1U << 20U;

    response_relay(upstream_sender &sender, replica_load_balancer &loadBalancer,
                   engine_admission &admission, local_reply_writer &localReplies,
                   entry_metrics &metrics);

    /// \brief Reads the answer of \p reply into \p body, up to slightly more than maxBufferedBytes,
    /// or as much as the process may hold for \p call.
    awaitable<body_read> readBody(entry_call_ptr call, open_reply &reply, std::string &body);

    /// \brief Relays an answer of which \p prefix was already read, and finishes \p reply.
    awaitable<void> relayRemainder(entry_call_ptr call, open_reply &reply, std::string prefix,
                                   response_writer &writer);

    /// \brief Relays a stream up to its last chunk, and finishes \p reply. The caller ends the
    /// response to the client, since it may have to wait before the client may see the end.
    awaitable<stream_result> relayStream(entry_call_ptr call, open_reply &reply,
                                         response_writer &writer);
    /// \brief Relays a stream up to its last chunk, and resumes it at a replica if it breaks off
    /// and may be resumed. \param reply becomes the reply of the last send. \param placementRequest
    /// requirements on the replicas at which it is resumed. \param original the client's request.
    /// \param body body of the request to a replica.
    awaitable<stream_result> relayWithResumes(entry_call_ptr call, open_reply &reply,
                                              placement_request &placementRequest,
                                              const http_request &original, std::string_view body,
                                              response_writer &writer);
    /// \brief Continues a stream whose beginning was already relayed, with the answer of another
    /// send that resumes after the call's last event.
    ///
    /// \param stream what was relayed so far; the continuation is added to it.
    awaitable<void> relayContinuation(entry_call_ptr call, open_reply &reply, stream_result &stream,
                                      response_writer &writer);

    /// \brief Relays a replica's answer that isn't a stream although a stream was requested, and
    /// finishes it.
    awaitable<void> relayNonStream(entry_call_ptr call, open_reply reply, response_writer &writer);

private:
    /// \returns the mean time between the events in milliseconds; 0 if there were too few.
    double recordEventInterval(const entry_call &call, std::int64_t events, time_point firstAt);
    /// \returns the outcome of the send.
    awaitable<send_outcome> relayEvents(entry_call_ptr call, open_reply &reply,
                                        stream_result &stream, response_writer &writer);

    upstream_sender &m_sender;
    replica_load_balancer &m_loadBalancer;
    engine_admission &m_engineAdmission;
    local_reply_writer &m_localReplies;
    entry_metrics &m_metrics;
};

/// \returns the output tokens that one event of an answer to \p call stands for.
std::int64_t tokensPerEvent(const entry_call &call);

} // namespace azurehill
