#pragma once

#include "entry/entry_call.h"
#include "entry/entry_metrics.h"
#include "entry/upstream_sender.h"
#include "http/http_server.h"

#include <string>

namespace azurehill {

/// Retry-After of a request that was not admitted: about the time of one turn.
constexpr duration busyRetryAfter = milliseconds(300);

/// Cause of a refusal by engine_admission.
constexpr std::string_view enginesBusy = "the engines are busy";

/// \brief Writes local replies, i.e. answers that the daemon itself gives in place of a replica,
/// with their log line and count.
class local_reply_writer
{
public:
    local_reply_writer(request_quarantine &quarantine, entry_metrics &metrics)
        : m_quarantine(quarantine), m_metrics(metrics)
    { }

    /// \brief Answers \p call with \p answer. If that promises that the request did not run, and
    /// the request may have run, the client gets an answer without the promise in its place.
    /// \param detail the cause, for log and metrics; what follows a colon are figures.
    /// \param retryAfter when a retry makes sense; only for Refused and OverQuota, and for
    /// UpstreamRejected unless it is zero.
    awaitable<void> write(entry_call_ptr call, local_reply answer, std::string detail,
                          response_writer &writer, duration retryAfter = busyRetryAfter);

    /// \brief Answers \p call after \p failure, unless the client has disconnected or has part of
    /// an answer. What is known of a replica that lost the request is shared before that, as the
    /// client's next attempt may reach any daemon.
    awaitable<void> replyWithFailure(entry_call_ptr call, send_failure failure,
                                     response_writer &writer);

    /// \brief Answers \p call, which may not be sent by \p verdict.
    awaitable<void> replyWithVerdict(entry_call_ptr call, send_verdict verdict,
                                     response_writer &writer);

private:
    request_quarantine &m_quarantine;
    entry_metrics &m_metrics;
};

} // namespace azurehill
