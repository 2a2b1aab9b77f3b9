#pragma once

#include "core/runtime_clock.h"
#include "runtime/asio.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief Watchdog timer: calls a function if an operation has not finished by its deadline.
///
/// Asio's sockets have no timeouts. Without this class a coroutine would wait forever for a peer
/// that has stopped responding. All calls must come from one strand.
class deadline_guard
{
public:
    explicit deadline_guard(const asio::any_io_executor &executor);
    ~deadline_guard();
    deadline_guard(const deadline_guard &) = delete;
    deadline_guard &operator=(const deadline_guard &) = delete;

    /// \brief Watches an operation: calls \p onExpiry at \p until unless finish() is called before.
    void start(time_point until, std::function<void()> onExpiry);
    /// \brief Ends the watch; an expiry that is already queued has no effect. The timer itself may
    /// stay set until the deadline or the destruction of this object.
    void finish();
    /// \returns whether the last watch reached its deadline.
    bool expired() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace azurehill
