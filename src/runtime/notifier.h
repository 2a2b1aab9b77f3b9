#pragma once

#include "runtime/asio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace azurehill {

/// \brief Condition variable for coroutines: resumes waiters on any thread after a change of state.
///
/// A waiter reads version(), checks its condition, and then calls waitForChangeSince() with that
/// version, so that a change between the check and the wait is not missed.
class notifier
{
public:
    /// \returns the number of calls of notifyAll().
    std::uint64_t version() const;
    /// \brief Increments version() and resumes each waiter on the executor of its coroutine.
    void notifyAll();
    /// \brief Waits until version() is greater than \p seen.
    awaitable<void> waitForChangeSince(std::uint64_t seen);

private:
    bool addWaiter(std::uint64_t seen, std::function<void()> resume);

    mutable std::mutex m_mutex;
    std::uint64_t m_version = 0;
    std::vector<std::function<void()>> m_waiters;
};

} // namespace azurehill
