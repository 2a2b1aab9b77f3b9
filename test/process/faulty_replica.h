#pragma once

#include "runtime/asio.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace azurehill::process_test {

/// \brief What a faulty replica sends in place of an answer.
struct faulty_answer
{
    /// Sent first; "ID" stands for the request's id.
    std::string start;
    /// Sent after it, \c repeats times. Then the replica is silent, and keeps the connection.
    std::string block = {};
    int repeats = 0;
};

/// \brief Replica that sends all its callers the same bytes, on a thread of its own.
class faulty_replica
{
public:
    explicit faulty_replica(faulty_answer answer);
    ~faulty_replica();
    faulty_replica(const faulty_replica &) = delete;
    faulty_replica &operator=(const faulty_replica &) = delete;

    std::uint16_t port() const { return m_port; }
    /// \returns the number of requests so far.
    int arrived() const { return m_arrived; }
    /// \brief Waits until the callers take no more bytes.
    void waitUntilSettled() const;

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    awaitable<void> acceptAll();
    awaitable<void> serve(socket_ptr socket);

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    faulty_answer m_answer;
    std::atomic<int> m_arrived{0};
    std::atomic<std::int64_t> m_sent{0};
    std::thread m_thread;
};

} // namespace azurehill::process_test
