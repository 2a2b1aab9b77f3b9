#include "daemon/pass_through.h"

#include "daemon/problems.h"
#include "daemon/upstream_call.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace azurehill {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr duration connectLimit = seconds(1);
constexpr int maxTries = 2;

constexpr std::array<std::string_view, 12> hopHeaders = {"Connection",
                                                         "Keep-Alive",
                                                         "Transfer-Encoding",
                                                         "Content-Length",
                                                         "TE",
                                                         "Trailer",
                                                         "Upgrade",
                                                         "Proxy-Authorization",
                                                         "Proxy-Connection",
                                                         "Expect",
                                                         "Host",
                                                         "Azurehill-Inner-Token"};

/// \brief The tenant's token is ours: no upstream gets to see it.
header_list upstreamHeaders(const header_list &from)
{
    header_list headers;
    for (const auto &[name, value] : endToEnd(from)) {
        if (!boost::beast::iequals(name, "Authorization"))
            headers.add(name, value);
    }
    return headers;
}

std::string serviceOf(const http_request &request)
{
    const std::string_view rest = request.path().substr(servicePrefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

bool isSafe(const http_request &request)
{
    return request.method == "GET" || request.method == "HEAD";
}

http_request upstreamRequest(const http_request &request)
{
    http_request out;
    out.method = request.method;
    out.target = "/" + request.target.substr(servicePrefix.size());
    out.headers = upstreamHeaders(request.headers);
    out.body = request.body;
    return out;
}

/// \returns the identity of \p request over its attempts.
request_fingerprint identify(const http_request &request)
{
    return fingerprintOf(std::array<std::string_view, 4>{
        request.headers.get("Authorization"), request.method, request.target, request.body});
}

/// \brief How one try at one replica ended.
struct try_end
{
    std::optional<http_error> error;
    /// Whether the caller has a part of the response, or all of it.
    bool isRelayed = false;
};

/// \brief One try at one replica.
awaitable<try_end> tryOnce(upstream_place place, http_request request, response_writer &writer)
{
    const auto connection = std::make_shared<http_connection>(co_await asio::this_coro::executor);
    closeWhenCallerGoes(connection, writer);
    try_end end;
    const auto connected
        = co_await connection->connect(place.address, runtime_clock::now() + connectLimit);
    if (!connected) {
        end.error = connected.error();
        co_return end;
    }
    auto head = co_await connection->sendAndReadHead(
        std::move(request), runtime_clock::now() + place.limits.callTimeout);
    if (!head) {
        end.error = head.error();
        co_return end;
    }
    end.isRelayed = true;
    end.error = co_await relayResponse(*connection, std::move(*head), writer,
                                       place.limits.streamIdleTimeout);
    co_return end;
}

} // namespace

header_list endToEnd(const header_list &headers)
{
    header_list result;
    for (const auto &[name, value] : headers) {
        const bool hop
            = std::any_of(hopHeaders.begin(), hopHeaders.end(),
                          [&n = name](std::string_view h) { return boost::beast::iequals(n, h); });
        if (!hop)
            result.add(name, value);
    }
    return result;
}

awaitable<std::optional<http_error>> relayResponse(http_connection &connection, response_head head,
                                                   response_writer &writer,
                                                   duration streamIdleTimeout)
{
    header_list headers = endToEnd(head.headers);
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (head.status == noContent || head.status == notModified) {
        http_response response{head.status, std::move(headers), {}};
        co_await writer.write(std::move(response));
        co_return std::nullopt;
    }
    bool open = co_await writer.begin(head.status, std::move(headers));
    while (open) {
        const auto piece = co_await connection.readSome(runtime_clock::now() + streamIdleTimeout);
        if (!piece)
            co_return piece.error();
        if (piece->empty())
            break;
        open = co_await writer.writeChunk(*piece);
    }
    if (open)
        co_await writer.end();
    co_return std::nullopt;
}

void closeWhenCallerGoes(const std::shared_ptr<http_connection> &connection,
                         response_writer &writer)
{
    const std::weak_ptr<http_connection> watched = connection;
    writer.onPeerDisconnect([watched] {
        if (const auto open = watched.lock())
            open->close();
    });
}

bool isPassThrough(const http_request &request)
{
    return request.path().starts_with(servicePrefix) && !request.headers.has("Azurehill-Program");
}

awaitable<void> passThrough(control &owner, asio::any_io_executor controlThread,
                            const http_request &request, response_writer &writer)
{
    // Only a program's journal can keep a non-idempotent request from running twice.
    if (!isSafe(request) && request.headers.get("Azurehill-Idempotent") != "true") {
        http_response reply = toResponse(
            malformedProblem("a request that is not idempotent needs the headers of a program"));
        co_await writer.write(std::move(reply));
        co_return;
    }
    auto check = [&owner, identity = identify(request)] { return owner.checkQuarantine(identity); };
    const auto quarantined = co_await runOn(controlThread, check);
    if (quarantined) {
        http_response reply = toResponse(toProblem(*quarantined));
        co_await writer.write(std::move(reply));
        co_return;
    }
    const std::string service = serviceOf(request);
    auto find = [&owner, service] { return owner.openPlainService(service); };
    auto place = co_await runOn(controlThread, find);
    if (!place) {
        http_response reply = toResponse(toProblem(place.error()));
        co_await writer.write(std::move(reply));
        co_return;
    }
    const request_fingerprint identity = identify(request);
    try_end end;
    for (int tries = 1; tries <= maxTries; ++tries) {
        http_request out = upstreamRequest(request);
        end = co_await tryOnce(*place, std::move(out), writer);
        const auto loss = end.error ? lossOf(*end.error) : std::nullopt;
        const bool hasAnswered = !end.error;
        auto record = [&owner, identity, at = *place, loss, hasAnswered] {
            if (loss || hasAnswered)
                owner.onPlainSendEnded(identity, at, loss);
            return owner.checkQuarantine(identity);
        };
        const auto refused = co_await runOn(controlThread, record);
        if (!end.error || end.isRelayed || tries == maxTries || refused)
            break;
        auto move
            = [&owner, service, number = place->number] { return owner.moveCall(service, number); };
        const auto other = co_await runOn(controlThread, move);
        if (!other)
            break;
        *place = *other;
    }
    auto close = [&owner, number = place->number] { owner.closeUpstream(number); };
    co_await runOn(controlThread, close);
    if (!end.error || end.isRelayed)
        co_return;
    http_response reply = toResponse(upstreamProblem(*end.error, true));
    co_await writer.write(std::move(reply));
}

} // namespace azurehill
