#pragma once

#include "runtime/deadline_guard.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief A server's socket whose operations end when their time is over. Used on its own strand.
class timed_socket
{
public:
    explicit timed_socket(asio::ip::tcp::socket s);
    ~timed_socket();
    timed_socket(const timed_socket &) = delete;
    timed_socket &operator=(const timed_socket &) = delete;

    /// \brief Cancels the read in progress unless finish() comes within \p limit: a peer that sends
    /// slowly would otherwise hold its memory for ever. The reader looks at expired() after every
    /// read, since a read that has just completed can't be cancelled any more.
    void startReadTimeout(duration limit);
    /// \brief Closes the socket unless finish() comes within \p limit. Closing, unlike cancelling,
    /// also ends the later steps of a write that is between two of them.
    void startWriteTimeout(duration limit);
    void stopTimeout() { m_guard.finish(); }
    bool expired() const { return m_guard.expired(); }

    /// \brief Calls \p onDisconnect when the peer closes its side before
    /// stopWatchingForDisconnect(). A peer that has already sent its next request is not watched.
    void watchForDisconnect(std::function<void()> onDisconnect);
    /// \brief Ends the watch. No other operation may be in progress.
    void stopWatchingForDisconnect();

    /// \brief Ends the connection so that the last response reaches the peer: closing a socket with
    /// unread bytes would reset it, and the peer would lose what it has not read yet.
    awaitable<void> linger();

    asio::ip::tcp::socket socket;

private:
    deadline_guard m_guard;
    std::shared_ptr<bool> m_watchActive;
};

} // namespace azurehill
