#pragma once

#include "replicas/replicas.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace azurehill {

/// \brief Result of relaying a stream.
struct stream_result
{
    bool isComplete = false;
    /// Whether the client still accepts bytes.
    bool isClientConnected = true;
    /// Data of the events, each followed by a line feed, if the daemon keeps the turn.
    std::string output;
    std::int64_t events = 0;
    /// Bytes received from replicas.
    std::size_t bytes = 0;
    /// Outcome of the first send. Further ones resumed the stream elsewhere.
    send_outcome firstEnd = send_outcome::Answered;
    /// Mean time between the events of one send in milliseconds; 0 if there were too few.
    double msPerEvent = 0;
};

} // namespace azurehill
