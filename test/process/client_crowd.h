#pragma once

#include "runtime/asio.h"

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <thread>

namespace azurehill::process_test {

/// \brief What each connection of a crowd sends.
struct client_script
{
    /// Sent first; "<number>" stands for a number that no other connection has.
    std::string start;
    /// Sent after it, \c repeats times.
    std::string block;
    int repeats = 0;
    /// Sent last.
    std::string end;
    /// Whether the connection reads what it is sent.
    bool readsAnswers = true;
    /// Whether the script ends with the first bytes of an answer, or with the connection.
    bool awaitsAnswer = false;
};

/// \brief Connections that send a script each and stay open, on a thread of their own.
class client_crowd
{
public:
    /// \brief Opens \p size connections to \p port.
    client_crowd(std::uint16_t port, int size, client_script script);
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    /// \brief Waits until each connection has sent its script, or was closed by the daemon, or
    /// can't send for want of a reader.
    void waitUntilSettled() const;

private:
    struct member;

    awaitable<void> play(member &one);
    awaitable<void> readAll(member &one);
    void finish(member &one);

    asio::io_context m_context;
    asio::ip::tcp::endpoint m_peer;
    client_script m_script;
    std::deque<member> m_members;
    std::atomic<int> m_unfinished;
    std::atomic<std::int64_t> m_sent{0};
    std::thread m_thread;
};

/// \brief Connections that each send requests one after another, as fast as they are answered.
/// \param requestAt returns the request number \p i of all.
/// \returns the number of requests that were answered.
int sendInTurn(std::uint16_t port, int connections, int requests,
               const std::function<std::string(int i)> &requestAt);

} // namespace azurehill::process_test
