#include "entry/local_reply_writer.h"

#include "core/log_event.h"
#include "platform/ingress.h"

#include <fmt/format.h>

namespace azurehill {

namespace {

/// Cause of a refusal by a daemon that stops.
constexpr std::string_view shuttingDownDetail = "the daemon is shutting down";

/// \returns the Retry-After of \p answer, or nothing if it has none.
std::optional<duration> retryAfterFor(local_reply answer, duration retryAfter)
{
    const bool isRefusal = answer == local_reply::Refused || answer == local_reply::OverQuota;
    const bool isStated = answer == local_reply::UpstreamRejected && retryAfter > duration::zero();
    return isRefusal || isStated ? std::optional(retryAfter) : std::nullopt;
}

/// \returns \p answer, or what \p call is answered in its place if it may have run and \p answer
/// promises that it did not.
local_reply withoutFalsePromise(const entry_call &call, local_reply answer)
{
    if (!call.mayHaveRun || !promisesNotRun(answer))
        return answer;
    return runtime_clock::now() < call.deadline ? local_reply::UpstreamFailed
                                                : local_reply::TimedOut;
}

/// \brief The local reply to a request that may not be sent.
struct quarantine_reply
{
    local_reply answer = local_reply::Refused;
    std::string detail;
    duration retryAfter = busyRetryAfter;
};

/// \brief Visitor that chooses the reply to a request by the verdict on it.
struct verdict_reply
{
    quarantine_reply operator()(const send_allowed &) const
    {
        return {local_reply::Refused, "allowed again", busyRetryAfter};
    }
    quarantine_reply operator()(const send_deferred &verdict) const
    {
        return {local_reply::Refused, "replicas may have ended under the request",
                verdict.retryAfter};
    }
    quarantine_reply operator()(const send_rejected &verdict) const
    {
        return {local_reply::Quarantined,
                fmt::format("replicas ended under the request: {}", verdict.endedReplicas),
                duration::zero()};
    }
    quarantine_reply operator()(const send_undecided &verdict) const
    {
        return {local_reply::Refused, "the evidence against requests has not been read yet",
                verdict.retryAfter};
    }
};

} // namespace

awaitable<void> local_reply_writer::write(entry_call_ptr call, local_reply answer,
                                          std::string detail, response_writer &writer,
                                          duration retryAfter)
{
    answer = withoutFalsePromise(*call, answer);
    if (answer == local_reply::Refused && call->abortReason == abort_reason::ShuttingDown) {
        // Any other daemon may serve the request at once.
        detail = shuttingDownDetail;
        retryAfter = duration::zero();
    }
    const std::optional<duration> wait = retryAfterFor(answer, retryAfter);
    logDecision(log_event::LocalReply,
                {{"request", call->request.id},
                 {"program", call->request.program.value},
                 {"previous", call->request.previousTurn.value},
                 {"answer", std::string(toName(answer))},
                 {"detail", detail},
                 {"fingerprint", toText(call->fingerprint)},
                 {"account", call->accountName().value},
                 {"route", call->route ? call->route->name : std::string()},
                 {"sends", std::int64_t(call->sends)},
                 {"retry_after_ms", toMilliseconds(wait.value_or(duration::zero()))},
                 {"ms", toMilliseconds(runtime_clock::now() - call->arrivedAt)}});
    // Only the text before a colon becomes a label: what follows are figures, which would create a
    // time series each.
    m_metrics.onAnswer(toName(answer), std::string_view(detail).substr(0, detail.find(':')));
    http_response response = encodeLocalReply(answer, detail, wait);
    call->isLocalReply = true;
    co_await writer.write(std::move(response));
}

awaitable<void> local_reply_writer::replyWithFailure(entry_call_ptr call, send_failure failure,
                                                     response_writer &writer)
{
    if (call->clientDisconnected() || call->responseStarted)
        co_return;
    co_await m_quarantine.waitUntilShared(call->fingerprint);
    if (call->clientDisconnected())
        co_return;
    if (!call->mayHaveRun && call->abortReason == abort_reason::Quarantined) {
        const send_verdict verdict = m_quarantine.verdict(call->fingerprint);
        co_await replyWithVerdict(call, verdict, writer);
        co_return;
    }
    if (failure.end == send_outcome::Failed) {
        const duration retryAfter = failure.retryAfter.value_or(duration::zero());
        co_await write(call, local_reply::UpstreamRejected, failure.detail, writer, retryAfter);
        co_return;
    }
    co_await write(call, local_reply::Refused, failure.detail, writer);
}

awaitable<void> local_reply_writer::replyWithVerdict(entry_call_ptr call, send_verdict verdict,
                                                     response_writer &writer)
{
    quarantine_reply reply = std::visit(verdict_reply(), verdict);
    std::string detail = std::move(reply.detail);
    co_await write(call, reply.answer, std::move(detail), writer, reply.retryAfter);
}

} // namespace azurehill
