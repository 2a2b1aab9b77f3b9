#include "entry/port_limits.h"

#include "limits/limits.h"

namespace azurehill {

namespace {

/// Time for a body: at 1 Mbit/s, one of the largest default size takes half a minute.
constexpr duration bodyTime = seconds(30);
/// Largest body of a call of another daemon: a call to the store, which accepts 1 MB, with its
/// encoding.
constexpr std::size_t maxPeerBody = 2U << 20U;

process_limits limitsOf(const host_settings &settings)
{
    return limitsFor(settings.memoryBytes, settings.fileDescriptors);
}

} // namespace

http_limits limitsOf(daemon_port port, const host_settings &settings, const client_limits &clients)
{
    const process_limits process = limitsOf(settings);
    http_limits limits;
    limits.receiveBufferBytes = connection_cost::receiveBufferBytes;
    // Look-ups, readiness checks and metrics have no bodies.
    limits.maxBodyBytes = 0;
    switch (port) {
    case daemon_port::Clients:
        limits.maxHeaderBytes = clients.headerBytes;
        limits.maxBodyBytes = clients.bodyBytes;
        limits.maxConnections = process.clientConnections;
        limits.maxRequests = process.clientRequests;
        limits.requestTimeout = clients.headerTime + bodyTime;
        limits.idleTimeout = clients.idleTimeout;
        break;
    case daemon_port::Lookups:
        limits.maxConnections = process.lookupConnections;
        break;
    case daemon_port::Readiness:
        limits.maxConnections = process.readinessConnections;
        break;
    case daemon_port::Metrics:
        limits.maxConnections = process.metricsConnections;
        break;
    case daemon_port::Peers:
        limits.maxBodyBytes = maxPeerBody;
        limits.maxConnections = process.peerConnections;
        break;
    }
    limits.maxConcurrentRefusals = concurrentRefusals(limits.maxConnections);
    return limits;
}

std::shared_ptr<memory_account> makeMemoryAccount(const host_settings &settings)
{
    return std::make_shared<memory_account>(limitsOf(settings).connectionBytes);
}

bool canHoldLargestRequest(const host_settings &settings, const client_limits &clients)
{
    const memory_account account(limitsOf(settings).connectionBytes);
    return account.couldHold(largestCost(clients.headerBytes, clients.bodyBytes).total());
}

} // namespace azurehill
