#pragma once

#include "core/core.h"

#include <cstdint>

namespace azurehill {

/// \brief Load reported by an engine, measured at \a takenAt and received later.
struct load_report
{
    time_point takenAt;
    int running = 0;
    int waiting = 0;
    /// Prompt tokens still to be prefilled for running and waiting calls.
    std::int64_t prefillTokens = 0;
};

} // namespace azurehill
