#include "daemon/call_runner.h"

#include "daemon/problems.h"
#include "daemon/upstream_call.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace azurehill {

namespace json = boost::json;

namespace {

constexpr int maxTries = 2;

/// \returns whether a call that ended like this may go to another replica. Only a call that did not
/// run may: a time-out after its bytes had left is unknown, and sending it again could run it
/// twice.
bool mayTryAgain(const upstream_end &end, int tries)
{
    return end.error && end.error->ran == outcome::DidNotRun && end.worthRetry && tries < maxTries;
}

std::string completionOf(const running_call &call, const upstream_end &end)
{
    const json::object choice{
        {"index", 0}, {"message", end.message.toJson()}, {"finish_reason", end.finishReason}};
    const json::object usage{{"prompt_tokens", end.promptTokens},
                             {"completion_tokens", end.completionTokens},
                             {"total_tokens", end.promptTokens + end.completionTokens}};
    return json::serialize(json::object{
        {"id", fmt::format("{}-{}", call.spec.request.program.value, call.spec.request.turn)},
        {"object", "chat.completion"},
        {"choices", json::array{choice}},
        {"usage", usage}});
}

journal_record endRecord(const running_call &call, const upstream_end &end)
{
    const call_request &r = call.spec.request;
    if (end.error) {
        const std::int64_t spent = end.error->ran == outcome::DidNotRun ? 0 : r.reserveTokens;
        return call_failed{r.program, r.turn, r.key, end.error->ran, spent};
    }
    if (r.kind != call_kind::Model)
        return call_finished{r.program,  r.turn, r.key,    0,
                             end.status, "",     end.body, end.contentType};
    const std::string messages
        = call.spec.newMessages + "," + json::serialize(end.message.toJson());
    const std::int64_t spent = end.promptTokens + end.completionTokens;
    return call_finished{
        r.program, r.turn, r.key, spent, 200, messages, completionOf(call, end), end.contentType};
}

problem commitProblem()
{
    return {503,
            "not-durable",
            "The answer could not be made durable",
            "ownership of the program moved",
            outcome::Unknown,
            seconds(1)};
}

/// \brief Makes the call, and once more on another replica if it did not run.
awaitable<upstream_end> callUpstream(control &owner, asio::any_io_executor controlThread,
                                     running_call &call)
{
    const bool model = call.spec.request.kind == call_kind::Model;
    for (int tries = 1;; ++tries) {
        // g++ 12 destroys the result of a co_await inside a conditional expression twice.
        upstream_end end;
        if (model)
            end = co_await callModel(call);
        else
            end = co_await callService(call);
        if (!mayTryAgain(end, tries))
            co_return end;
        auto move = [&owner, service = call.spec.service, number = call.placement.number] {
            return owner.moveCall(service, number);
        };
        const auto other = co_await runOn(controlThread, move);
        if (!other)
            co_return end;
        call.upstream = other->address;
        call.placement.replica = other->id;
    }
}

call_measures measuresOf(const running_call &call, const upstream_end &end, time_point sent,
                         duration commit, std::int64_t heldBefore)
{
    call_measures m;
    m.queueing = sent - call.spec.acceptedAt;
    if (end.firstToken)
        m.firstToken = *end.firstToken - call.spec.acceptedAt;
    m.gaps = end.gaps;
    m.commit = commit;
    m.promptTokens = end.promptTokens;
    m.cachedTokens = end.cachedTokens;
    m.heldTokens = heldBefore;
    return m;
}

void endStream(call_stream &stream, const upstream_end &end, std::string body)
{
    if (end.error) {
        stream.finish(upstreamProblem(*end.error, end.worthRetry));
        return;
    }
    for (const std::string &data : end.held)
        stream.append(data);
    stream.finish(call_answer{end.status, end.contentType, std::move(body)});
}

} // namespace

awaitable<void> runCall(control &owner, asio::any_io_executor controlThread, running_call call)
{
    const auto stream = call.stream;
    const time_point sent = runtime_clock::now();
    const upstream_end end = co_await callUpstream(owner, controlThread, call);
    const time_point ended = runtime_clock::now();
    const bool model = call.spec.request.kind == call_kind::Model;
    call.loss = end.error ? lossOf(*end.error) : std::nullopt;
    const journal_record record = endRecord(call, end);
    const std::int64_t heldBefore = call.heldTokens;
    if (model && !end.error)
        call.heldTokens = end.promptTokens + end.completionTokens;
    auto finish = [&owner, call, record] {
        owner.setHeldTokens(call.spec.request.program, call.heldTokens);
        return owner.finishCall(call, record);
    };
    const bool durable = co_await runOn(controlThread, finish);
    if (model) {
        owner.measures().onCallDone(
            {call.spec.tenant, call.programClass},
            measuresOf(call, end, sent, runtime_clock::now() - ended, heldBefore));
    }
    if (durable)
        endStream(*stream, end, model ? completionOf(call, end) : end.body);
    else
        stream->finish(commitProblem());
}

} // namespace azurehill
