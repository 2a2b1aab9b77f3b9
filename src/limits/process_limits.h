#pragma once

#include <cstddef>
#include <cstdint>

namespace azurehill {

/// \brief What the peers of a process may make it hold, as shares of its memory and of its
/// descriptors.
///
/// All shares are stated here, and together they stay below the whole: what is left over is for the
/// process itself, its tables, its calls to the store and to other daemons.
struct process_limits
{
    /// Memory of all connections of peers, with their requests and answers.
    std::int64_t connectionBytes = 0;
    /// Memory of cached turns.
    std::int64_t cachedTurnBytes = 0;
    /// Number of programs whose accounts are cached.
    std::size_t cachedPrograms = 0;
    /// Number of prompt parts that the models of the replicas' caches hold together.
    std::size_t promptParts = 0;

    /// Connections of clients.
    int clientConnections = 0;
    /// Requests of clients in progress, each of which may need a connection to a replica.
    int clientRequests = 0;
    int lookupConnections = 0;
    int readinessConnections = 0;
    int metricsConnections = 0;
    /// Connections of other daemons.
    int peerConnections = 0;
    /// Idle connections to replicas.
    int idleReplicaConnections = 0;

    /// \returns the memory of all shares together.
    std::int64_t totalBytes() const;
    /// \returns the descriptors of all shares together, with those of connections that are refused.
    int totalDescriptors() const;
};

/// Memory of a program's account and of the records beside it.
constexpr std::int64_t bytesPerProgram = 2048;
/// Memory of a prompt part in the model of a replica's cache.
constexpr std::int64_t bytesPerPromptPart = 192;
/// Descriptors that a process needs for files.
constexpr int fileDescriptorReserve = 200;

/// \returns the number of connections beyond \p connections, the limit of a port, that may be told
/// so at one time.
int concurrentRefusals(int connections);

/// \returns the limits of a process that may use \p memoryBytes and \p fileDescriptors.
process_limits limitsFor(std::int64_t memoryBytes, int fileDescriptors);

} // namespace azurehill
