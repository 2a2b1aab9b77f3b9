#pragma once

#include "core/enum_names.h"
#include "core/runtime_clock.h"
#include "http/http_server.h"

#include <atomic>

namespace azurehill::standin {

/// \brief How a stand-in misbehaves until it is told otherwise.
enum class fault_mode {
    None,
    /// Refuses every request; nothing takes effect.
    Down,
    /// Answers only after a while.
    Slow,
    /// Requests take effect, but the connection closes without an answer.
    LoseAnswers,
    /// Takes requests and never answers; nothing takes effect.
    Silent
};

/// \brief The fault of one stand-in, set by "POST /fault {"mode": NAME, "delay_ms": N}".
struct fault_state
{
    std::atomic<fault_mode> mode{fault_mode::None};
    std::atomic<std::int64_t> delayMs{0};
};

/// \returns \p inner behind \p faults: requests to /fault set it, all others suffer it.
request_handler withFaults(const std::shared_ptr<fault_state> &faults, request_handler inner);

} // namespace azurehill::standin

namespace azurehill {

template <>
struct enum_names<standin::fault_mode>
{
    static constexpr std::array<std::string_view, 5> names
        = {"none", "down", "slow", "lose_answers", "silent"};
};

} // namespace azurehill
