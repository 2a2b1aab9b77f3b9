#include "limits/process_limits.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Connections that a port has on the smallest process as well.
constexpr int minConnections = 4;

int shareOf(int descriptors, int divisor)
{
    return std::max(minConnections, descriptors / divisor);
}

} // namespace

std::int64_t process_limits::totalBytes() const
{
    return connectionBytes + cachedTurnBytes
        + static_cast<std::int64_t>(cachedPrograms) * bytesPerProgram
        + static_cast<std::int64_t>(promptParts) * bytesPerPromptPart;
}

int process_limits::totalDescriptors() const
{
    int total = clientRequests + idleReplicaConnections;
    for (const int connections : {clientConnections, lookupConnections, readinessConnections,
                                  metricsConnections, peerConnections})
        total += connections + concurrentRefusals(connections);
    return total;
}

int concurrentRefusals(int connections)
{
    constexpr int connectionsPerRefusal = 16;
    constexpr int maxRefusals = 64;
    return std::clamp(connections / connectionsPerRefusal, 1, maxRefusals);
}

process_limits limitsFor(std::int64_t memoryBytes, int fileDescriptors)
{
    process_limits limits;
    limits.connectionBytes = memoryBytes / 8 * 3;
    limits.cachedTurnBytes = memoryBytes / 8;
    limits.cachedPrograms = static_cast<std::size_t>(memoryBytes / 8 / bytesPerProgram);
    limits.promptParts = static_cast<std::size_t>(memoryBytes / 16 / bytesPerPromptPart);

    const int sockets = std::max(0, fileDescriptors - fileDescriptorReserve);
    limits.clientConnections = shareOf(sockets * 13, 32);
    limits.clientRequests = shareOf(sockets, 4);
    limits.lookupConnections = shareOf(sockets, 16);
    limits.readinessConnections = shareOf(sockets, 64);
    limits.metricsConnections = shareOf(sockets, 64);
    limits.peerConnections = shareOf(sockets, 16);
    limits.idleReplicaConnections = shareOf(sockets, 8);
    return limits;
}

} // namespace azurehill
