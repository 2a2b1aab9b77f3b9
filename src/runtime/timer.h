#pragma once

#include "core/runtime_clock.h"
#include "runtime/asio.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace azurehill {

namespace internal {

/// \brief Makes Asio look at the project's clock often enough to see it moved by a test.
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

/// \brief Waits for \p d by the project's clock.
awaitable<void> sleepFor(duration d);

} // namespace azurehill
