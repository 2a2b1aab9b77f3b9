#pragma once

#include "core/mechanism.h"
#include "members/adaptive_timeout.h"
#include "members/member_state.h"
#include "store/store_transport.h"

#include <optional>

namespace azurehill {

/// \brief Reaches the store directly, or through another daemon that can.
///
/// The store may turn away some hosts, or a host may be cut off from the store alone, while others
/// work: calls then fail or hang here only. A peer that reaches the store makes the call for us.
class peer_transport : public store_transport
{
public:
    peer_transport(const asio::any_io_executor &executor, endpoint storeAddress,
                   const mechanism_set &mechanisms = {});

    awaitable<tl::expected<http_response, http_error>>
    exchange(http_request request, time_point deadline, duration hold) override;
    /// \brief Takes in which peers reach the store.
    void setPeers(std::vector<endpoint> reachingStore);
    /// \returns whether direct calls are answered. A call beyond the store's rate is answered,
    /// unless only such answers came for a while: then the store turns this host away. One answer
    /// that does not come may be lost; two in a row, or one refusal, say that they are not.
    bool isDirectWorking() const { return m_directFailures < directFailureThreshold; }
    /// \returns when the store last answered, directly or through a peer.
    time_point lastAnswer() const { return m_answeredAt; }
    /// \returns what the last direct call that failed was, and how it failed.
    const std::string &lastDirectFailure() const { return m_lastDirectFailure; }

    /// \brief Makes a call for a peer, directly only, so that calls don't go in circles.
    awaitable<tl::expected<http_response, http_error>> exchangeDirectly(http_request request,
                                                                        time_point deadline);

private:
    using exchange_result = tl::expected<http_response, http_error>;

    void recordDirectResult(const exchange_result &result, std::string path);
    /// \brief Learns how long direct answers take.
    void recordResponseTime(const exchange_result &result, duration took);
    awaitable<tl::expected<http_response, http_error>> exchangeThroughPeer(http_request request,
                                                                           time_point deadline);

    static constexpr int directFailureThreshold = 2;
    /// Nothing but "too many" for this long means that this host is turned away: a store at its
    /// limit answers some of the calls.
    static constexpr duration rateLimitTolerance = milliseconds(400);

    mechanism_set m_mechanisms;
    direct_transport m_direct;
    adaptive_timeout m_directTimeout;
    connection_pool m_pool;
    std::vector<endpoint> m_peers;
    std::size_t m_nextPeer = 0;
    int m_directFailures = 0;
    time_point m_directFailedAt;
    /// When a direct call last worked.
    time_point m_directAnsweredAt;
    /// When direct calls were first answered "too many", if nothing else has come since.
    std::optional<time_point> m_rateLimitedSince;
    time_point m_answeredAt = runtime_clock::now();
    std::string m_lastDirectFailure;
};

/// \returns whether \p request asks for a call of the store on behalf of a peer.
bool isRelayedCall(const http_request &request);
/// \brief Makes the call inside \p request for a peer. \returns the store's answer, or a failure
/// that says whether something may have been done.
awaitable<http_response> answerRelayedCall(peer_transport &transport, const http_request &request);

} // namespace azurehill
