#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief What an engine says of its load, true at \a takenAt and known later.
struct load_report
{
    time_point takenAt;
    int running = 0;
    int waiting = 0;
    /// Prompt tokens that are still to be computed for running and waiting calls.
    std::int64_t prefillTokens = 0;
};

} // namespace azurehill
