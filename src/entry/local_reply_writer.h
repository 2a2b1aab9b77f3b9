#pragma once

#include "entry/entry_call.h"
#include "entry/entry_metrics.h"
#include "entry/upstream_sender.h"
#include "http/http_server.h"

#include <string>

namespace azurehill {

/// Time after which a request that found no place comes back: about that of one turn.
constexpr duration busyRetryAfter = milliseconds(300);

/// The cause of a refusal by an engine_admission.
constexpr std::string_view enginesBusy = "the engines are busy";

/// \brief Writes the answers that are the daemon's own, with their log line and count.
class local_reply_writer
{
public:
    explicit local_reply_writer(entry_metrics &metrics) : m_metrics(metrics) { }

    /// \brief Ends \p call with \p answer.
    /// \param detail the cause, for the log; what follows a colon are figures.
    /// \param retryAfter when coming back makes sense; only for Refused and OverQuota.
    awaitable<void> write(entry_call_ptr call, local_reply answer, std::string detail,
                          response_writer &writer, duration retryAfter = busyRetryAfter);

    /// \brief Ends \p call after \p failure, unless the client left or has part of an answer.
    awaitable<void> giveUp(entry_call_ptr call, send_failure failure, response_writer &writer);

private:
    entry_metrics &m_metrics;
};

} // namespace azurehill
