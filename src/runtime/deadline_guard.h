#pragma once

#include "core/runtime_clock.h"
#include "runtime/asio.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief Calls a function when an operation has not finished by its deadline.
///
/// Asio's sockets have no deadline of their own, and a peer that went silent never ends an
/// operation: without this the coroutine would wait for ever. All calls come from one strand.
class deadline_guard
{
public:
    explicit deadline_guard(const asio::any_io_executor &executor);
    ~deadline_guard();
    deadline_guard(const deadline_guard &) = delete;
    deadline_guard &operator=(const deadline_guard &) = delete;

    /// \brief Calls \p onExpiry at \p until, unless finish() comes first.
    void start(time_point until, std::function<void()> onExpiry);
    /// \brief Ends the watch; an expiry that is already queued does nothing any more. The timer
    /// itself may go on until the deadline or the end of this object.
    void finish();
    /// \returns whether the last watch expired.
    bool expired() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace azurehill
