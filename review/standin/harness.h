// Stand-ins for the scripts of this review: the platform's store, replicas, clients, and the
// daemons as child processes. Plain threads and blocking sockets; loopback addresses only.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

/// Milliseconds since the start of the scenario.
long long now();
void sleepMs(long long time);
/// Sleeps until \p at milliseconds after the start of the scenario.
void sleepUntil(long long at);
/// Writes a line with the time to record.txt and to standard output.
void note(const std::string &line);
void openRecord(const std::string &path);

struct http_message
{
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string get(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A blocking connection.
class connection
{
public:
    explicit connection(int fd = -1) : m_fd(fd) { }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    bool open(const std::string &ip, int port, const std::string &from = "");
    void close();
    /// Closes with a reset.
    void reset();
    bool isOpen() const { return m_fd >= 0; }
    /// \returns whether the peer has closed or reset the connection.
    bool hasPeerClosed() const;
    bool send(const std::string &bytes);
    /// Reads one request with its whole body. \returns false at the end of the connection.
    bool readRequest(http_message &m);
    /// Reads a head.
    bool readHead(http_message &m);
    /// Reads the body of a response, chunk by chunk. \returns whether it was whole.
    bool readBody(http_message &m, const std::function<void(const std::string &)> &onBytes = {});
    void setTimeout(long long time);
    std::string lastError;

private:
    bool fill();
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &out,
                   const std::function<void(const std::string &)> &onBytes = {});
    int m_fd;
    std::string m_buffer;
};

/// A server with a thread for each connection.
class server
{
public:
    /// The handler answers one request. \returns whether the connection goes on.
    using handler = std::function<bool(const http_message &, connection &)>;
    server(const std::string &ip, int port, handler h);
    ~server();
    int port() const { return m_port; }
    const std::string &ip() const { return m_ip; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void accept();
    std::string m_ip;
    int m_port = 0;
    int m_fd = -1;
    handler m_handler;
    std::thread m_thread;
    std::atomic<bool> m_stop{false};
};

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                     const std::string &body);
std::string chunk(const std::string &bytes);

/// The platform's store: rows under conditions, reads, and the feed of changes.
class row_store
{
public:
    row_store(const std::string &ip, int port);
    const std::string &address() const { return m_address; }
    /// Writes a row as the operator or a replica does.
    void put(const std::string &table, const std::string &part, const std::string &key,
             const std::string &value);
    void remove(const std::string &table, const std::string &part, const std::string &key);
    /// \returns the value of a row, or nothing.
    std::string value(const std::string &table, const std::string &part, const std::string &key);
    std::size_t rowCount(const std::string &table, const std::string &part);
    std::vector<std::string> keys(const std::string &table, const std::string &part);

    enum class trouble { None, Silent, Unavailable, AnswerLost, Late };
    /// Decides what a call suffers; the first argument is its path, the second its body.
    std::function<trouble(const std::string &, const std::string &)> nextTrouble;
    /// How long a call that suffers trouble::Late waits before it is done.
    std::atomic<int> lateMs{3000};

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };
    struct change
    {
        std::int64_t version;
        std::string table, part, key;
        bool deleted;
    };
    using name = std::array<std::string, 3>;
    bool answer(const http_message &m, connection &c);
    std::string transact(const std::string &body);
    std::string read(const std::map<std::string, std::string> &query);
    std::string feed(const std::map<std::string, std::string> &query);
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<name, row> m_rows;
    std::vector<change> m_changes;
    std::int64_t m_version = 0;
    std::string m_address;
    std::unique_ptr<server> m_server;
};

/// A daemon as a process of its own.
class daemon_process
{
public:
    ~daemon_process();
    /// Starts it with the command of the deploy file.
    void start(const std::string &settings, const std::string &log);
    void signal(int number);
    bool isRunning();
    /// Waits for its end for \p time. \returns whether it has ended.
    bool waitForEnd(long long time);
    std::string endText() const { return m_end; }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    std::string m_end;
};

struct host
{
    std::string name, ip, zone = "riohacha";
    int front = 0, ready = 0, control = 0, directory = 0, firstPort = 0;
};

/// \returns a port at which several in a row are free on \p ip.
int freePorts(const std::string &ip, int count);
std::string settingsOf(const host &h, const std::string &store, const std::vector<host> &all);
/// A loopback address of this run: 127.x.y.\p last.
std::string address(int last);
bool isReady(const host &h);
bool waitReady(const host &h, long long time);

/// Result of a client's attempt.
struct attempt
{
    std::string id;
    int status = 0;
    bool whole = false;
    bool connected = false;
    std::string body;
    http_message head;
    long long sentAt = 0, endedAt = 0;
    std::string error;
};

/// Sends one request on \p c and reads its answer.
attempt exchange(connection &c, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body, long long timeout);

std::string folder();
bool hasTrouble();

} // namespace review
