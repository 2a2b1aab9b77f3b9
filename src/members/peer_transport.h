#pragma once

#include "core/mechanism.h"
#include "members/adaptive_timeout.h"
#include "members/member_state.h"
#include "store/store_transport.h"

#include <optional>

namespace azurehill {

/// \brief Store transport that fails over between the direct connection and a relaying peer.
///
/// The store may reject some hosts, or the network between one host and the store may fail, while
/// other daemons still reach it. Calls are then relayed by such a peer.
class peer_transport : public store_transport
{
public:
    peer_transport(const asio::any_io_executor &executor, endpoint storeAddress,
                   const mechanism_set &mechanisms = {});

    awaitable<tl::expected<http_response, http_error>>
    exchange(http_request request, time_point deadline, duration hold) override;
    /// \brief Sets the peers that reach the store.
    void setPeers(std::vector<endpoint> reachingStore);
    /// \returns whether direct calls succeed. Two consecutive timeouts, or a single rejection,
    /// count as a failure; a single timeout may be a lost response. A rate-limited response counts
    /// as a success, unless the store sends nothing else for \c rateLimitTolerance, which means
    /// that it rejects this host.
    bool isDirectWorking() const { return m_directFailures < directFailureThreshold; }
    /// \returns when the store last responded, directly or through a peer.
    time_point lastAnswer() const { return m_answeredAt; }
    /// \returns path and error of the last direct call that failed.
    const std::string &lastDirectFailure() const { return m_lastDirectFailure; }

    /// \brief Makes a call on behalf of a peer, without relaying it, so that calls can't loop.
    awaitable<tl::expected<http_response, http_error>> exchangeDirectly(http_request request,
                                                                        time_point deadline);

private:
    using exchange_result = tl::expected<http_response, http_error>;

    void recordDirectResult(const exchange_result &result, std::string path);
    /// \brief Updates the adaptive timeout of direct calls.
    void recordResponseTime(const exchange_result &result, duration took);
    awaitable<tl::expected<http_response, http_error>> exchangeThroughPeer(http_request request,
                                                                           time_point deadline);

    static constexpr int directFailureThreshold = 2;
    /// Only rate-limited responses for this long mean that the store rejects this host: a store at
    /// its rate limit still serves some of the calls.
    static constexpr duration rateLimitTolerance = milliseconds(400);

    mechanism_set m_mechanisms;
    direct_transport m_direct;
    adaptive_timeout m_directTimeout;
    connection_pool m_pool;
    std::vector<endpoint> m_peers;
    std::size_t m_nextPeer = 0;
    int m_directFailures = 0;
    time_point m_directFailedAt;
    /// When a direct call last succeeded.
    time_point m_directAnsweredAt;
    /// Time of the first of consecutive rate-limited direct responses, if the last one was such.
    std::optional<time_point> m_rateLimitedSince;
    time_point m_answeredAt = runtime_clock::now();
    std::string m_lastDirectFailure;
};

/// \returns whether \p request is a store call to be relayed for a peer.
bool isRelayedCall(const http_request &request);
/// \brief Relays the store call in \p request for a peer. \returns the store's response, or an
/// error status that says whether the call may have taken effect.
awaitable<http_response> answerRelayedCall(peer_transport &transport, const http_request &request);

} // namespace azurehill
