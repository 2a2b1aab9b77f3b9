#pragma once

#include <chrono>

namespace azurehill {

/// \brief Monotonic clock for all timers and leases.
///
/// It includes the time in which the host is suspended (CLOCK_BOOTTIME), since a lease also expires
/// while its holder is suspended. Tests pause and advance it.
struct runtime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /// \brief Stops the clock at the current time.
    static void pause() noexcept;
    /// \brief Advances a paused clock by \p step.
    static void advance(duration step) noexcept;
    /// \brief Makes a paused clock follow the system's time again.
    static void resume() noexcept;
    static bool isPaused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \returns \p d in milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// \returns Unix time in milliseconds by the system's wall clock, which may be adjusted. Only for
/// display and activation times, never for leases.
std::int64_t unixMilliseconds();

} // namespace azurehill
