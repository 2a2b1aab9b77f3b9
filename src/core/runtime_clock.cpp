#include "core/runtime_clock.h"

#include <atomic>
#include <ctime>

namespace azurehill {

namespace {

std::atomic<bool> paused{false};
std::atomic<duration::rep> pausedAt{0};

duration bootTime() noexcept
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

} // namespace

time_point runtime_clock::now() noexcept
{
    return time_point(paused ? duration(pausedAt.load()) : bootTime());
}

void runtime_clock::pause() noexcept
{
    pausedAt = bootTime().count();
    paused = true;
}

void runtime_clock::advance(duration step) noexcept
{
    pausedAt += step.count();
}

void runtime_clock::resume() noexcept
{
    paused = false;
}

bool runtime_clock::isPaused() noexcept
{
    return paused;
}

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

} // namespace azurehill
