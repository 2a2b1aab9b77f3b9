#pragma once

#include <cstddef>
#include <cstdint>

namespace azurehill {

/// \brief What a peer has sent on a connection since its last answer, and the memory that this
/// makes the process hold.
struct connection_cost
{
    /// Memory of a connection without a request: socket, timers, coroutines.
    static constexpr std::int64_t idleBytes = 4LL << 10U;
    /// Receive buffer of a connection in the kernel, which a peer may fill while a request is in
    /// progress.
    static constexpr int receiveBufferBytes = 16 << 10;
    /// Memory of a request in progress beside its own size: its state, its connection to a replica,
    /// and what the kernel receives meanwhile.
    static constexpr std::int64_t requestBytes = (24LL << 10U) + receiveBufferBytes;

    /// Part of requestBytes for an answer while it is relayed.
    static constexpr std::size_t coveredAnswerBytes = 8U << 10U;
    /// Size up to which an answer may use the reserve of its account. Ordinary ones hold less.
    static constexpr std::size_t ordinaryAnswerBytes = 32U << 10U;

    /// Capacity of the buffer for bytes that have not been parsed.
    std::size_t bufferBytes = 0;
    std::size_t headBytes = 0;
    std::size_t fields = 0;
    /// Size of the body: the announced one, or for chunks the size so far.
    std::uint64_t bodyBytes = 0;
    bool isChunked = false;
    bool isInProgress = false;

    /// \returns the memory that the process holds.
    std::int64_t total() const { return peerBytes() + (isInProgress ? requestBytes : 0); }

    /// \returns the part of it that the peer decides on.
    std::int64_t peerBytes() const
    {
        // The header is held as text and forwarded; each field is a node of a list twice.
        constexpr std::int64_t headCopies = 3;
        constexpr std::int64_t bytesPerField = 192;
        // A body is copied when it is forwarded. One in chunks has grown by doubling its capacity.
        const std::int64_t bodyCopies = isChunked ? 3 : 2;
        return idleBytes + static_cast<std::int64_t>(bufferBytes)
            + headCopies * static_cast<std::int64_t>(headBytes)
            + bytesPerField * static_cast<std::int64_t>(fields)
            + bodyCopies * static_cast<std::int64_t>(bodyBytes);
    }
};

/// \returns the cost of a request with a header of \p headerBytes, all of them short fields, and a
/// body of \p bodyBytes in chunks.
inline connection_cost largestCost(std::size_t headerBytes, std::size_t bodyBytes)
{
    // A name, a colon and the end of the line.
    constexpr std::size_t minFieldBytes = 4;
    connection_cost largest;
    largest.headBytes = headerBytes;
    largest.fields = headerBytes / minFieldBytes;
    largest.bodyBytes = bodyBytes;
    largest.isChunked = true;
    largest.isInProgress = true;
    return largest;
}

} // namespace azurehill
