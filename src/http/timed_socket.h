#pragma once

#include "runtime/deadline_guard.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief Server-side TCP socket with read and write timeouts. Used on its own strand.
class timed_socket
{
public:
    explicit timed_socket(asio::ip::tcp::socket s);
    ~timed_socket();
    timed_socket(const timed_socket &) = delete;
    timed_socket &operator=(const timed_socket &) = delete;

    /// \brief Cancels the read in progress unless stopTimeout() is called within \p limit. Without
    /// it a peer that sends slowly would hold its memory indefinitely. The reader must check
    /// expired() after every read, since a read that has just completed can't be cancelled any
    /// more.
    void startReadTimeout(duration limit);
    /// \brief Closes the socket unless stopTimeout() is called within \p limit. A composed write
    /// may be between two of its operations, with nothing to cancel: closing makes the next one
    /// fail too.
    void startWriteTimeout(duration limit);
    void stopTimeout() { m_guard.finish(); }
    bool expired() const { return m_guard.expired(); }

    /// \brief Calls \p onDisconnect if the peer closes its side before stopWatchingForDisconnect().
    /// A close is not detected if the peer has already sent its next request.
    void watchForDisconnect(std::function<void()> onDisconnect);
    /// \brief Stops the detection. It cancels all operations on the socket, so that no other one
    /// may be in progress.
    void stopWatchingForDisconnect();

    /// \brief Shuts down sending, then reads and discards input for a bounded time, so that the
    /// last response reaches the peer: closing a socket with unread bytes would reset the
    /// connection, and the peer would lose what it has not read yet.
    awaitable<void> linger();

    /// \brief Sets whether closing the socket resets the connection, in place of an orderly end.
    void setResetOnClose(bool resets);

    asio::ip::tcp::socket socket;

private:
    deadline_guard m_guard;
    std::shared_ptr<bool> m_watchActive;
};

} // namespace azurehill
