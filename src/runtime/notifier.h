#pragma once

#include "runtime/asio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace azurehill {

/// \brief Wakes coroutines of any thread when something has changed.
///
/// A waiter reads version(), looks at what it waits for, and then waits past that version: a change
/// between the look and the wait is not missed.
class notifier
{
public:
    /// \returns the number of changes so far.
    std::uint64_t version() const;
    /// \brief Counts a change and resumes every waiter on its own executor.
    void notifyAll();
    /// \brief Waits until there are more than \p seen changes.
    awaitable<void> waitForChangeSince(std::uint64_t seen);

private:
    bool addWaiter(std::uint64_t seen, std::function<void()> resume);

    mutable std::mutex m_mutex;
    std::uint64_t m_version = 0;
    std::vector<std::function<void()>> m_waiters;
};

} // namespace azurehill
