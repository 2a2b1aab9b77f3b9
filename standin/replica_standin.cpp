#include "standin/replica_standin.h"

#include "runtime/timer.h"

#include <fmt/format.h>

#include <cstdlib>

namespace azurehill::standin {

namespace {

constexpr int events = 4;
constexpr int misdirected = 421;
/// Time for the last bytes to leave before the process ends.
constexpr duration flushTime = milliseconds(20);

header_list replicaHeaders(const http_request &request)
{
    header_list headers;
    headers.add("X-Azurehill-Request-Id", request.headers.get("X-Azurehill-Request-Id"));
    headers.add("X-Azurehill-Server-Stamp", "stamp");
    return headers;
}

awaitable<void> endProcess()
{
    co_await sleepFor(flushTime);
    std::_Exit(EXIT_FAILURE);
}

awaitable<void> answerStream(const http_request &request, std::optional<end_stage> stage,
                             response_writer &writer)
{
    header_list headers = replicaHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    co_await writer.begin(200, std::move(headers));
    for (int i = 1; i <= events; ++i) {
        const std::string event = fmt::format("id: {}\ndata: e{}\n\n", i, i);
        const bool isCut = i == events / 2;
        if (isCut && stage == end_stage::InsideBody) {
            co_await writer.writeChunk(event.substr(0, event.size() / 2));
            co_await endProcess();
        }
        co_await writer.writeChunk(event);
        if (isCut && stage == end_stage::BetweenEvents)
            co_await endProcess();
    }
    co_await writer.end();
}

awaitable<void> answerPlain(const http_request &request, std::optional<end_stage> stage,
                            response_writer &writer)
{
    if (stage == end_stage::InsideBody) {
        co_await writer.begin(200, replicaHeaders(request));
        co_await writer.writeChunk("who");
        co_await endProcess();
    }
    http_response response;
    response.headers = replicaHeaders(request);
    response.body = "whole";
    co_await writer.write(std::move(response));
}

awaitable<void> serveRequest(const std::string &id, const http_request &request,
                             response_writer &writer)
{
    const std::string_view expected = request.headers.get("X-Azurehill-Expect-Instance");
    if (!expected.empty() && expected != id) {
        http_response other;
        other.status = misdirected;
        co_await writer.write(std::move(other));
        co_return;
    }
    const auto stage = fromName<end_stage>(request.query("end").value_or(""));
    if (stage == end_stage::BeforeHead)
        co_await endProcess();
    if (request.path().starts_with("/events"))
        co_await answerStream(request, stage, writer);
    else
        co_await answerPlain(request, stage, writer);
    if (stage == end_stage::AfterAnswer)
        co_await endProcess();
}

} // namespace

request_handler makeReplica(const std::string &id)
{
    return [id](const http_request &request, response_writer &writer) -> awaitable<void> {
        co_await serveRequest(id, request, writer);
    };
}

} // namespace azurehill::standin
