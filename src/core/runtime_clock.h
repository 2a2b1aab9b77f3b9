#pragma once

#include <chrono>

namespace azurehill {

/// \brief Clock of every timer and lease.
///
/// It counts the time that the machine is suspended (CLOCK_BOOTTIME), since a lease goes on lapsing
/// while its holder sleeps. Tests pause it and move it by hand.
struct runtime_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;

    /// \brief Stops the clock where it stands.
    static void pause() noexcept;
    /// \brief Moves a paused clock on by \p step.
    static void advance(duration step) noexcept;
    /// \brief Lets the clock run with the machine's time again.
    static void resume() noexcept;
    /// \returns whether the clock is paused.
    static bool isPaused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \returns \p d in whole milliseconds.
constexpr std::int64_t toMilliseconds(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// \returns milliseconds since 1970 by the machine's calendar clock; for display and activation
/// times only, never for leases.
std::int64_t unixMilliseconds();

} // namespace azurehill
