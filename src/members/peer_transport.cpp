#include "members/peer_transport.h"

#include <algorithm>
#include <charconv>

namespace azurehill {

namespace {

constexpr std::string_view relayPath = "/inner/store";
constexpr std::string_view methodHeader = "Store-Method";
constexpr std::string_view targetHeader = "Store-Target";
constexpr std::string_view timeoutHeader = "Store-Time-Ms";

/// Upper bound of the direct timeout while direct calls fail. A host whose calls the store silently
/// drops spends this time on each attempt to find out whether direct calls succeed again.
constexpr duration timeoutWhileFailing = milliseconds(400);
/// How long calls go through a peer before a direct call is tried again.
constexpr duration directRetryInterval = milliseconds(700);
constexpr duration connectTime = milliseconds(200);
/// Default and upper bound of the timeout of a relayed call. The bound leaves room for long polls,
/// which the store holds for some seconds.
constexpr std::int64_t defaultTimeoutMs = 1000;
constexpr std::int64_t maxTimeoutMs = 5000;
constexpr duration maxIdle = seconds(5);
constexpr std::size_t maxIdleConnections = 8;

constexpr int statusTooMany = 429;

bool isRejection(int status)
{
    return status == statusTooMany || status == 503;
}

bool isRateLimited(const tl::expected<http_response, http_error> &result)
{
    return result && result->status == statusTooMany;
}

http_request wrap(http_request request, duration timeLeft)
{
    http_request out;
    out.method = "POST";
    out.target = relayPath;
    out.headers.add(methodHeader, request.method);
    out.headers.add(targetHeader, request.target);
    out.headers.add(timeoutHeader, std::to_string(toMilliseconds(timeLeft)));
    out.headers.add("Content-Type", "application/octet-stream");
    out.body = std::move(request.body);
    return out;
}

http_request unwrap(const http_request &request)
{
    http_request out;
    out.method = request.headers.get(methodHeader);
    out.target = request.headers.get(targetHeader);
    if (!request.body.empty())
        out.headers.add("Content-Type", "application/json");
    out.body = request.body;
    return out;
}

/// \returns the deadline that the peer set for the call in \p request.
time_point deadlineOf(const http_request &request)
{
    const std::string headerValue(request.headers.get(timeoutHeader));
    std::int64_t ms = defaultTimeoutMs;
    const auto [end, error]
        = std::from_chars(headerValue.data(), headerValue.data() + headerValue.size(), ms);
    if (error != std::errc() || end != headerValue.data() + headerValue.size())
        ms = defaultTimeoutMs;
    return runtime_clock::now() + milliseconds(std::clamp<std::int64_t>(ms, 0, maxTimeoutMs));
}

} // namespace

bool isRelayedCall(const http_request &request)
{
    return request.path() == relayPath;
}

awaitable<http_response> answerRelayedCall(peer_transport &transport, const http_request &request)
{
    http_request call = unwrap(request);
    auto reply = co_await transport.exchangeDirectly(std::move(call), deadlineOf(request));
    if (reply)
        co_return std::move(*reply);
    constexpr int nothingDone = 503;
    constexpr int unknown = 502;
    http_response failure;
    failure.status = reply.error().ran == outcome::DidNotRun ? nothingDone : unknown;
    failure.headers.add("Content-Type", "application/json");
    failure.body = "{}";
    co_return failure;
}

peer_transport::peer_transport(const asio::any_io_executor &executor, endpoint storeAddress,
                               const mechanism_set &mechanisms)
    : m_mechanisms(mechanisms), m_direct(executor, std::move(storeAddress)),
      m_pool(executor, maxIdle, maxIdleConnections)
{ }

void peer_transport::setPeers(std::vector<endpoint> reachingStore)
{
    if (m_mechanisms.has(mechanism::PeerStoreCalls))
        m_peers = std::move(reachingStore);
}

awaitable<tl::expected<http_response, http_error>>
peer_transport::exchangeDirectly(http_request request, time_point deadline)
{
    std::string path(request.path());
    const time_point began = runtime_clock::now();
    auto response = co_await m_direct.exchange(std::move(request), deadline, {});
    // A failed call that was sent before the last success says nothing about the current state.
    const bool isOutdated
        = began < m_directAnsweredAt && !(response && !isRejection(response->status));
    if (!isOutdated)
        recordDirectResult(response, std::move(path));
    co_return response;
}

void peer_transport::recordDirectResult(const exchange_result &result, std::string path)
{
    const time_point now = runtime_clock::now();
    if (result && !isRejection(result->status)) {
        m_directFailures = 0;
        m_answeredAt = now;
        m_directAnsweredAt = now;
        m_rateLimitedSince.reset();
        return;
    }
    if (isRateLimited(result))
        m_rateLimitedSince = m_rateLimitedSince.value_or(now);
    // If the store's rate limit counted as an outage, every call would be made a second time
    // through a peer.
    const bool isTolerated
        = m_mechanisms.has(mechanism::RateLimitIsNoOutage) && isRateLimited(result);
    if (isTolerated && isDirectWorking() && now - *m_rateLimitedSince < rateLimitTolerance)
        return;
    const bool isTimeout = !result && result.error().kind == http_error_kind::TimedOut;
    m_directFailures += isTimeout ? 1 : directFailureThreshold;
    m_lastDirectFailure = std::move(path) + ": "
        + (result ? std::to_string(result->status) : result.error().detail);
    m_directFailedAt = now;
}

void peer_transport::recordResponseTime(const exchange_result &result, duration took)
{
    if (result && !isRejection(result->status))
        m_directTimeout.onResponse(took);
    else if (!result && result.error().kind == http_error_kind::TimedOut)
        m_directTimeout.onTimeout();
}

awaitable<tl::expected<http_response, http_error>>
peer_transport::exchangeThroughPeer(http_request request, time_point deadline)
{
    const endpoint peer = m_peers[m_nextPeer++ % m_peers.size()];
    http_connection connection = m_pool.take(peer, runtime_clock::now());
    if (!connection.isReusable()) {
        const time_point until = std::min(deadline, runtime_clock::now() + connectTime);
        const auto connected = co_await connection.connect(peer, until);
        if (!connected)
            co_return tl::unexpected(connected.error());
    }
    http_request wrapped = wrap(std::move(request), deadline - runtime_clock::now());
    auto response = co_await connection.exchange(std::move(wrapped), deadline, maxStoreAnswerBytes);
    if (response)
        m_pool.give(peer, std::move(connection), runtime_clock::now());
    if (response && !isRejection(response->status))
        m_answeredAt = runtime_clock::now();
    co_return response;
}

awaitable<tl::expected<http_response, http_error>>
peer_transport::exchange(http_request request, time_point deadline, duration hold)
{
    const time_point now = runtime_clock::now();
    const bool peerFirst
        = !m_peers.empty() && !isDirectWorking() && now < m_directFailedAt + directRetryInterval;
    const duration directTimeout = isDirectWorking()
        ? m_directTimeout.timeout()
        : std::min(m_directTimeout.timeout(), timeoutWhileFailing);
    const time_point firstDeadline
        = m_peers.empty() ? deadline : std::min(deadline, now + directTimeout + hold);
    http_request copy = request;
    exchange_result first;
    if (peerFirst)
        first = co_await exchangeThroughPeer(std::move(copy), deadline);
    else
        first = co_await exchangeDirectly(std::move(copy), firstDeadline);
    if (!peerFirst && hold == duration::zero())
        recordResponseTime(first, runtime_clock::now() - now);
    if (isRateLimited(first) && (peerFirst || isDirectWorking()))
        co_return first;
    const bool failed = !first || isRejection(first->status);
    if (!failed || m_peers.empty() || runtime_clock::now() >= deadline)
        co_return first;
    // Retry over the other path. Every call may be repeated: reads have no effects, and writes have
    // preconditions that fail if the first attempt took effect.
    exchange_result second;
    if (peerFirst)
        second = co_await exchangeDirectly(std::move(request), deadline);
    else
        second = co_await exchangeThroughPeer(std::move(request), deadline);
    const bool isOutcomeUnknown = !first && first.error().ran != outcome::DidNotRun;
    const bool secondFailed = !second || isRejection(second->status);
    // An error that says that the call did not run would be wrong if the first attempt may still
    // take effect.
    if (isOutcomeUnknown && secondFailed)
        co_return first;
    co_return second;
}

} // namespace azurehill
