#pragma once

#include "core/runtime_clock.h"
#include "runtime/asio.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace azurehill {

namespace internal {

/// \brief Wait traits that make Asio poll a paused runtime_clock every millisecond, since a test
/// may advance it at any time.
struct clock_wait_traits
{
    static duration to_wait_duration(const duration &d)
    {
        constexpr duration maxPollInterval = milliseconds(1);
        return runtime_clock::isPaused() ? std::min(d, maxPollInterval) : d;
    }
    static duration to_wait_duration(const time_point &t)
    {
        return to_wait_duration(t - runtime_clock::now());
    }
};

} // namespace internal

using timer = asio::basic_waitable_timer<runtime_clock, internal::clock_wait_traits>;

/// \brief Suspends the calling coroutine for \p d by runtime_clock.
awaitable<void> sleepFor(duration d);

} // namespace azurehill
