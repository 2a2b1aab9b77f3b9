// Parts that the scripts of review/4 to review/8 share: the platform's store, replicas, clients and
// the daemons' processes. Everything listens on loopback addresses and keeps to PROTOCOL.md.
#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

namespace json = boost::json;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline clock::time_point startedAt = clock::now();
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - startedAt).count();
}
inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

// ---- the record -------------------------------------------------------------------------------

inline std::mutex recordMutex;
inline std::FILE *recordFile = nullptr;
__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    std::FILE *const out = recordFile ? recordFile : stdout;
    std::fprintf(out, "%9.3f s  ", double(nowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out, format, arguments);
    va_end(arguments);
    std::fputc('\n', out);
    std::fflush(out);
}

/// Exit statuses of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// ---- HTTP/1.1 over blocking sockets -----------------------------------------------------------

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct message
{
    std::string first;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string get(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t start = first.find(' ') + 1;
        return first.substr(start, first.find(' ', start) - start);
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

class connection
{
public:
    explicit connection(int fd = -1) : m_fd(fd) { }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool open(const std::string &ip, int port, int timeoutMs = 1000)
    {
        close();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
        int code = ::connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to);
        if (code != 0 && errno == EINPROGRESS) {
            pollfd p{m_fd, POLLOUT, 0};
            code = poll(&p, 1, timeoutMs) == 1 ? 0 : -1;
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0)
                code = -1;
        }
        if (code != 0) {
            close();
            return false;
        }
        fcntl(m_fd, F_SETFL, 0);
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return true;
    }

    bool isOpen() const { return m_fd >= 0; }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Whether there are bytes or an end to read within \p timeoutMs.
    bool isReadable(int timeoutMs) const
    {
        pollfd p{m_fd, POLLIN, 0};
        return poll(&p, 1, timeoutMs) == 1;
    }

    /// Whether the peer has closed the connection; does not wait.
    bool isPeerGone() const
    {
        if (!isReadable(0))
            return false;
        char byte = 0;
        const ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }

    /// Reads more bytes into the buffer. \returns false at the end, on errors and after the
    /// deadline.
    bool fill(clock::time_point until)
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
        if (left <= 0 || !isReadable(static_cast<int>(left)))
            return false;
        char bytes[65536];
        const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool readHead(message &m, clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        m = {};
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        m.first = line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            m.headers[lower(line.substr(0, colon))]
                = value == std::string::npos ? "" : line.substr(value);
        }
        return true;
    }

    bool readBytes(std::string &out, std::size_t count, clock::time_point until)
    {
        while (m_buffer.size() < count) {
            if (!fill(until))
                return false;
        }
        out = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string &out, clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        out = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    /// Reads a body with a length or in chunks; \p onBytes gets the parts of a chunked one.
    bool readBody(message &m, clock::time_point until,
                  const std::function<void(const std::string &)> &onBytes = {})
    {
        if (lower(m.get("transfer-encoding")) == "chunked") {
            while (true) {
                std::string line;
                if (!readLine(line, until))
                    return false;
                const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                std::string chunk;
                if (!readBytes(chunk, size + 2, until))
                    return false;
                if (size == 0)
                    return true;
                chunk.resize(size);
                m.body += chunk;
                if (onBytes)
                    onBytes(chunk);
            }
        }
        const std::string length = m.get("content-length");
        return length.empty()
            || readBytes(m.body, std::strtoul(length.c_str(), nullptr, 10), until);
    }

    /// Closes the connection with a reset.
    void reset()
    {
        if (m_fd < 0)
            return;
        const linger l{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        close();
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }

private:
    int m_fd;
    std::string m_buffer;
};

/// Serves each connection on a thread of its own. The handler returns whether to go on with the
/// connection.
class server
{
public:
    using handler = std::function<bool(connection &, message &)>;

    server(std::string ip, handler h) : m_ip(std::move(ip)), m_handler(std::move(h))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        inet_pton(AF_INET, m_ip.c_str(), &at.sin_addr);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0
            || ::listen(m_fd, 256) != 0)
            std::exit(couldNotRun);
        socklen_t size = sizeof at;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&at), &size);
        m_port = ntohs(at.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    /// Stops listening, as a process that ends.
    void stop()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            shutdown(fd, SHUT_RDWR);
            ::close(fd);
        }
    }

private:
    void acceptAll()
    {
        while (true) {
            const int listening = m_fd;
            if (listening < 0)
                return;
            const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_fd < 0)
                    return;
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] {
                connection c(fd);
                message m;
                while (c.isOpen() && c.readHead(m, clock::now() + 120s)
                       && c.readBody(m, clock::now() + 60s)) {
                    if (!m_handler(c, m))
                        return;
                }
            }).detach();
        }
    }

    std::string m_ip;
    handler m_handler;
    std::atomic<int> m_fd{-1};
    int m_port = 0;
};

inline std::string answerText(int status, const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
        + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ---------------------------------------------------------------------

inline std::string toBase64(const std::string &bytes)
{
    static const char letters[]
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
            n = n << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > bytes.size() ? '=' : letters[n >> (18 - 6 * k) & 63U];
    }
    return out;
}

inline std::string fromBase64(const std::string &text)
{
    std::string out;
    unsigned n = 0;
    int bits = 0;
    for (const char c : text) {
        int v = -1;
        if (c >= 'A' && c <= 'Z')
            v = c - 'A';
        else if (c >= 'a' && c <= 'z')
            v = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            v = c - '0' + 52;
        else if (c == '+')
            v = 62;
        else if (c == '/')
            v = 63;
        if (v < 0)
            break;
        n = n << 6U | static_cast<unsigned>(v);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(n >> bits & 255U);
        }
    }
    return out;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return result;
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos)
            continue;
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        result[pair.substr(0, equals)] = value;
    }
    return result;
}

class store
{
public:
    store() : m_server("127.0.0.1", [this](connection &c, message &m) { return answer(c, m); }) { }
    std::string address() const { return m_server.address(); }

    /// Writes a row as the operator or a replica does. Returns when the store has accepted it.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        set({table, "", key}, value, ++m_version);
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        drop({table, "", key}, ++m_version);
        m_changed.notify_all();
    }
    /// What a call meets: true takes the call over, and the handler has then done all.
    std::function<bool(connection &, message &)> trouble;
    /// Time of an answer.
    std::atomic<int> answerMs{4};

    bool applyTransaction(const json::object &body, json::array &conflict)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        bool holds = true;
        for (const json::value &c : body.at("expected_rev").as_array()) {
            const auto found = m_rows.find(nameOf(c));
            const std::uint64_t is = found == m_rows.end() ? 0 : found->second.version;
            holds = holds && is == c.at("ver").to_number<std::uint64_t>();
            if (found != m_rows.end())
                conflict.push_back(rowOf(found->first, found->second));
        }
        if (!holds)
            return false;
        ++m_version;
        for (const json::value &w : body.at("set_keys").as_array())
            set(nameOf(w), fromBase64(std::string(w.at("value").as_string())), m_version);
        for (const json::value &r : body.at("remove").as_array())
            drop(nameOf(r), m_version);
        m_changed.notify_all();
        return true;
    }

private:
    struct name
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const name &) const = default;
    };
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static name nameOf(const json::value &v)
    {
        return {std::string(v.at("table").as_string()), std::string(v.at("part").as_string()),
                std::string(v.at("key").as_string())};
    }
    static json::object rowOf(const name &n, const row &r)
    {
        json::object o{{"table", n.table}, {"part", n.part}, {"key", n.key}, {"ver", r.version}};
        o["value"] = toBase64(r.value);
        if (r.deleted)
            o["deleted"] = true;
        return o;
    }
    void set(const name &n, const std::string &value, std::uint64_t version)
    {
        m_rows[n] = {value, version, false};
        m_history.emplace_back(n, m_rows[n]);
    }
    void drop(const name &n, std::uint64_t version)
    {
        if (m_rows.erase(n) != 0)
            m_history.emplace_back(n, row{"", version, true});
    }
    json::object head() const { return {{"ver", m_version}, {"now_ms", nowMs()}}; }

    json::object readRows(const std::map<std::string, std::string> &q)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto at
            = [&](const char *key) { return q.contains(key) ? q.at(key) : std::string(); };
        const std::size_t limit
            = q.contains("limit") ? std::strtoul(at("limit").c_str(), nullptr, 10) : 500;
        json::array rows;
        bool more = false;
        for (auto it = m_rows.lower_bound({at("table"), at("part"), at("from")});
             it != m_rows.end(); ++it) {
            const name &n = it->first;
            if (n.table != at("table") || n.part != at("part")
                || (q.contains("to") && n.key >= at("to")))
                break;
            more = rows.size() >= std::min<std::size_t>(limit, 500);
            if (more)
                break;
            rows.push_back(rowOf(n, it->second));
        }
        json::object o = head();
        o["rows"] = std::move(rows);
        o["has_more"] = more;
        return o;
    }
    json::object readFeed(const std::map<std::string, std::string> &q)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::uint64_t after = std::strtoull(q.at("after").c_str(), nullptr, 10);
        const auto until = clock::now()
            + std::chrono::milliseconds(q.contains("wait_ms") ? std::atoi(q.at("wait_ms").c_str())
                                                              : 0);
        while (true) {
            json::array rows;
            std::set<name> seen;
            for (auto it = m_history.rbegin(); it != m_history.rend() && it->second.version > after;
                 ++it) {
                if (it->first.table == q.at("table") && seen.insert(it->first).second)
                    rows.insert(rows.begin(), rowOf(it->first, it->second));
            }
            if (!rows.empty() || clock::now() >= until) {
                json::object o = head();
                o["rows"] = std::move(rows);
                return o;
            }
            m_changed.wait_until(lock, until);
        }
    }
    json::object readParts(const std::map<std::string, std::string> &q)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::set<std::string> parts;
        for (const auto &[n, r] : m_rows) {
            if (n.table == q.at("table") && (!q.contains("after") || n.part > q.at("after")))
                parts.insert(n.part);
        }
        json::array list;
        for (const std::string &part : parts) {
            if (list.size() < 1000)
                list.emplace_back(part);
        }
        json::object o = head();
        o["parts"] = std::move(list);
        return o;
    }

    bool answer(connection &c, message &m)
    {
        if (trouble && trouble(c, m))
            return c.isOpen();
        sleepMs(answerMs);
        const std::string target = m.target();
        const std::string path = target.substr(0, target.find('?'));
        const auto q = queryOf(target);
        if (path == "/azurehill/rows-tx") {
            json::array conflict;
            const json::value body = json::parse(m.body);
            const bool done = applyTransaction(body.as_object(), conflict);
            const std::lock_guard<std::mutex> lock(m_mutex);
            json::object o = head();
            if (!done)
                o["rows"] = std::move(conflict);
            return c.write(answerText(done ? 200 : 412, json::serialize(o)));
        }
        if (path == "/azurehill/rows-get")
            return c.write(answerText(200, json::serialize(readRows(q))));
        if (path == "/azurehill/rows-feed")
            return c.write(answerText(200, json::serialize(readFeed(q))));
        if (path == "/azurehill/rows-parts")
            return c.write(answerText(200, json::serialize(readParts(q))));
        return c.write(answerText(404, "{}"));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<name, row> m_rows;
    std::vector<std::pair<name, row>> m_history;
    std::uint64_t m_version = 0;
    server m_server;
};

// ---- replicas' entries ------------------------------------------------------------------------

inline std::string replicaEntry(const std::string &service, const std::string &address,
                                const std::string &state, int slots, int sequence,
                                std::int64_t born)
{
    return json::serialize(json::object{{"service", service},
                                        {"address", address},
                                        {"zone", "bagmati-a"},
                                        {"version", "1"},
                                        {"slots", slots},
                                        {"state", state},
                                        {"cold_left_ms", 0},
                                        {"seq_no", sequence},
                                        {"born", born}});
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---- the daemons ------------------------------------------------------------------------------

/// A port that is free on \p ip now, with the \p count - 1 ones after it.
inline int freePorts(const std::string &ip, int count)
{
    static std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = std::uniform_int_distribution<int>(20000, 31000)(random);
        bool isFree = true;
        for (int i = 0; i < count && isFree; ++i) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockaddr_in at{};
                at.sin_family = AF_INET;
                at.sin_port = htons(static_cast<std::uint16_t>(first + i));
                inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
                isFree = isFree && ::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
                ::close(fd);
            }
        }
        if (isFree)
            return first;
    }
    std::exit(couldNotRun);
}

struct deployment
{
    std::string storeAddress;
    std::string folder;
    std::string bounds;
    std::string limits;
    int firstPort = 0;
    std::vector<std::string> ips;
};

class entry
{
public:
    entry(const deployment &d, std::size_t index) : m_ip(d.ips.at(index)), m_port(d.firstPort)
    {
        const std::string name = "front-" + std::to_string(index + 1);
        m_settings = d.folder + "/" + name + ".toml";
        m_log = d.folder + "/" + name + ".log";
        std::ofstream file(m_settings);
        const auto at = [&](int offset) {
            return "\"" + m_ip + ":" + std::to_string(d.firstPort + offset) + "\"";
        };
        file << "node_name = \"" << name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
             << "serves = [\"front\",\"control\",\"directory\"]\nip = \"" << m_ip
             << "\"\nzone = \"bagmati-a\"\n"
             << "region = \"bagmati\"\nport_range = [" << d.firstPort + 10 << ","
             << d.firstPort + 25 << "]\nseeds = [";
        for (std::size_t i = 0; i < std::min<std::size_t>(3, d.ips.size()); ++i)
            file << (i ? "," : "") << "\"" << d.ips[i] << ":" << d.firstPort + 3 << "\"";
        file << "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = "
                "\"directory\"\nheartbeat_ms = 1200\n"
             << "[zones]\nbagmati-a = \"bagmati\"\n[listen]\nfront = " << at(0)
             << "\nready = " << at(1) << "\ndirectory = " << at(2) << "\ncontrol = " << at(3)
             << "\n[limits]\n"
             << d.limits << "[bounds]\n"
             << d.bounds << "[provider]\naddress = \"" << d.storeAddress
             << "\"\nform = \"table\"\nwrites_per_s = 1500\n"
             << "reads_per_s = 6000\ntx_ms = 3.0\npart_writes_s = 300\nrow_bytes = 65536\nacross = "
                "true\nhistory_s = 20\n";
    }
    ~entry() { kill(SIGKILL); }
    entry(const entry &) = delete;
    entry &operator=(const entry &) = delete;

    /// Starts the daemon with the run command of deploy/system.toml.
    void start()
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives the script
        const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        setenv("AZUREHILL_SETTINGS", m_settings.c_str(), 1);
        execl("target/azurehill-entry", "target/azurehill-entry", "--metrics-port", "9464",
              nullptr);
        _exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// \returns the wait status if the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = -1;
    }
    bool isReady() const
    {
        connection c;
        message m;
        if (!c.open(m_ip, m_port + 1, 300)
            || !c.write("GET /azurehill/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        return c.readHead(m, clock::now() + 500ms) && m.status() == 200;
    }
    const std::string &ip() const { return m_ip; }
    int port() const { return m_port; }
    pid_t pid() const { return m_pid; }
    const std::string &logPath() const { return m_log; }
    /// \returns the field \p name of the process's status in kB, as VmRSS or VmHWM.
    long memoryKb(const std::string &name) const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string word;
        while (file >> word) {
            if (word == name + ":") {
                long kb = 0;
                file >> kb;
                return kb;
            }
        }
        return 0;
    }

private:
    std::string m_ip;
    int m_port;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/// Random loopback addresses, so that scripts can run side by side with the ports of the deploy
/// file.
inline std::vector<std::string> loopbackAddresses(std::size_t count)
{
    std::mt19937 random(std::random_device{}());
    const int second = std::uniform_int_distribution<int>(1, 250)(random);
    const int third = std::uniform_int_distribution<int>(1, 250)(random);
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < count; ++i)
        ips.push_back("127." + std::to_string(second) + "." + std::to_string(third) + "."
                      + std::to_string(i + 10));
    return ips;
}

inline std::string scratchFolder()
{
    std::string name = std::string(std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp")
        + "/azurehill-review-XXXXXX";
    return mkdtemp(name.data()) ? name : std::string();
}

inline bool isTroubled()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard<std::mutex> lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace world
