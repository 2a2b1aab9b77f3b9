#include "harness.h"

#include <boost/json/src.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace json = boost::json;

namespace review {

namespace {

const steady::time_point started = steady::now();
std::mutex recordMutex;
std::ofstream recordFile;

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

bool isSameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream in(target.substr(mark + 1));
    std::string pair;
    while (std::getline(in, pair, '&')) {
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
    }
    return query;
}

constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned n = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            n |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            n |= static_cast<unsigned char>(bytes[i + 2]);
        out += alphabet[n >> 18 & 63];
        out += alphabet[n >> 12 & 63];
        out += i + 1 < bytes.size() ? alphabet[n >> 6 & 63] : '=';
        out += i + 2 < bytes.size() ? alphabet[n & 63] : '=';
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out;
    unsigned n = 0;
    int bits = 0;
    for (const char c : text) {
        const char *const found = c == '=' ? nullptr : std::strchr(alphabet, c);
        if (!found || !*found)
            continue;
        n = n << 6 | static_cast<unsigned>(found - alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(n >> bits & 255);
        }
    }
    return out;
}

} // namespace

long long now()
{
    return std::chrono::duration_cast<ms>(steady::now() - started).count();
}

void sleepMs(long long time)
{
    if (time > 0)
        std::this_thread::sleep_for(ms(time));
}

void sleepUntil(long long at)
{
    std::this_thread::sleep_until(started + ms(at));
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void note(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(now()) / 1000);
    recordFile << time << line << std::endl;
    std::cout << time << line << std::endl;
}

std::string http_message::get(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameName(key, name))
            return value;
    }
    return {};
}

std::string http_message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string http_message::target() const
{
    const std::size_t start = first.find(' ') + 1;
    return first.substr(start, first.find(' ', start) - start);
}

int http_message::status() const
{
    const std::size_t start = first.find(' ');
    return start == std::string::npos ? 0 : std::atoi(first.c_str() + start);
}

bool connection::open(const std::string &ip, int port, const std::string &from)
{
    close();
    m_buffer.clear();
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
        const sockaddr_in local = addressOf(from, 0);
        ::bind(m_fd, reinterpret_cast<const sockaddr *>(&local), sizeof local);
    }
    const sockaddr_in peer = addressOf(ip, port);
    if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        lastError = std::string("connect: ") + std::strerror(errno);
        close();
        return false;
    }
    const int one = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
}

void connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void connection::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
}

bool connection::hasPeerClosed() const
{
    if (m_fd < 0)
        return true;
    pollfd p{m_fd, POLLIN, 0};
    if (::poll(&p, 1, 0) <= 0)
        return false;
    char byte = 0;
    return ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

bool connection::send(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0) {
            lastError = std::string("send: ") + std::strerror(errno);
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

void connection::setTimeout(long long time)
{
    const timeval t{static_cast<time_t>(time / 1000), static_cast<suseconds_t>(time % 1000 * 1000)};
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
}

bool connection::fill()
{
    char bytes[16384];
    while (true) {
        const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0) {
            lastError = n == 0 ? "closed by the peer" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
}

bool connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::readBytes(std::size_t count, std::string &out,
                           const std::function<void(const std::string &)> &onBytes)
{
    while (count > 0) {
        if (m_buffer.empty() && !fill())
            return false;
        const std::string part = m_buffer.substr(0, count);
        m_buffer.erase(0, part.size());
        count -= part.size();
        out += part;
        if (onBytes)
            onBytes(part);
    }
    return true;
}

bool connection::readHead(http_message &m)
{
    m = {};
    if (!readLine(m.first))
        return false;
    std::string line;
    while (readLine(line)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        std::size_t start = colon + 1;
        while (start < line.size() && line[start] == ' ')
            ++start;
        m.headers.emplace_back(line.substr(0, colon), line.substr(start));
    }
    return false;
}

bool connection::readBody(http_message &m, const std::function<void(const std::string &)> &onBytes)
{
    if (isSameName(m.get("Transfer-Encoding"), "chunked")) {
        std::string line;
        while (readLine(line)) {
            const std::size_t size = std::stoul(line, nullptr, 16);
            if (size == 0)
                return readLine(line);
            if (!readBytes(size, m.body, onBytes) || !readLine(line))
                return false;
        }
        return false;
    }
    const std::string length = m.get("Content-Length");
    return length.empty() || readBytes(std::stoul(length), m.body, onBytes);
}

bool connection::readRequest(http_message &m)
{
    return readHead(m) && readBody(m);
}

server::server(const std::string &ip, int port, handler h) : m_ip(ip), m_handler(std::move(h))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in local = addressOf(ip, port);
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || ::listen(m_fd, 512) != 0) {
        note("can't listen on " + ip + ": " + std::strerror(errno));
        std::_Exit(2);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    m_thread = std::thread([this] { accept(); });
}

server::~server()
{
    m_stop = true;
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
}

void server::accept()
{
    while (!m_stop) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (m_stop)
                return;
            continue;
        }
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] {
            connection c(fd);
            http_message m;
            while (c.readRequest(m) && m_handler(m, c)) { }
        }).detach();
    }
}

std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                     const std::string &body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    bool isChunked = false;
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
        isChunked = isChunked || isSameName(name, "Transfer-Encoding");
    }
    if (!isChunked)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

row_store::row_store(const std::string &ip, int port)
{
    nextTrouble = [](const std::string &, const std::string &) { return trouble::None; };
    m_server = std::make_unique<server>(
        ip, port, [this](const http_message &m, connection &c) { return answer(m, c); });
    m_address = m_server->address();
}

void row_store::put(const std::string &table, const std::string &part, const std::string &key,
                    const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows[{table, part, key}] = {value, m_version};
    m_changes.push_back({m_version, table, part, key, false});
    m_changed.notify_all();
}

void row_store::remove(const std::string &table, const std::string &part, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    m_rows.erase({table, part, key});
    m_changes.push_back({m_version, table, part, key, true});
    m_changed.notify_all();
}

std::string row_store::value(const std::string &table, const std::string &part,
                             const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, part, key});
    return found == m_rows.end() ? std::string() : found->second.value;
}

std::vector<std::string> row_store::keys(const std::string &table, const std::string &part)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto &[n, r] : m_rows) {
        if (n[0] == table && n[1] == part)
            result.push_back(n[2]);
    }
    return result;
}

std::size_t row_store::rowCount(const std::string &table, const std::string &part)
{
    return keys(table, part).size();
}

std::string row_store::transact(const std::string &body)
{
    const json::value document = json::parse(body);
    const json::object &o = document.as_object();
    const auto nameOf = [](const json::object &r) {
        return name{std::string(r.at("table").as_string()), std::string(r.at("part").as_string()),
                    std::string(r.at("key").as_string())};
    };
    const std::lock_guard lock(m_mutex);
    bool holds = true;
    json::array current;
    for (const json::value &v : o.at("expected_rev").as_array()) {
        const name n = nameOf(v.as_object());
        const auto found = m_rows.find(n);
        const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == v.at("ver").to_number<std::int64_t>();
        if (found != m_rows.end())
            current.push_back(json::object{{"table", n[0]},
                                           {"part", n[1]},
                                           {"key", n[2]},
                                           {"value", toBase64(found->second.value)},
                                           {"ver", version}});
    }
    json::object out;
    if (holds) {
        ++m_version;
        for (const json::value &v : o.at("set_keys").as_array()) {
            const name n = nameOf(v.as_object());
            m_rows[n] = {fromBase64(std::string(v.at("value").as_string())), m_version};
            m_changes.push_back({m_version, n[0], n[1], n[2], false});
        }
        for (const json::value &v : o.at("remove").as_array()) {
            const name n = nameOf(v.as_object());
            if (m_rows.erase(n) != 0)
                m_changes.push_back({m_version, n[0], n[1], n[2], true});
        }
        m_changed.notify_all();
    } else {
        out["rows"] = current;
    }
    out["ver"] = m_version;
    out["now_ms"] = now();
    return response(holds ? 200 : 412, {{"Content-Type", "application/json"}},
                    json::serialize(out));
}

std::string row_store::read(const std::map<std::string, std::string> &query)
{
    const auto in = [&](const char *key) {
        const auto found = query.find(key);
        return found == query.end() ? std::string() : found->second;
    };
    const std::string from = in("from");
    const std::string to = in("to");
    const std::size_t limit = in("limit").empty() ? 500 : std::stoul(in("limit"));
    const std::lock_guard lock(m_mutex);
    json::array rows;
    bool more = false;
    std::size_t bytes = 0;
    for (const auto &[n, r] : m_rows) {
        if (n[0] != in("table") || n[1] != in("part") || n[2] < from || (!to.empty() && n[2] >= to))
            continue;
        if (rows.size() >= std::min<std::size_t>(limit, 500) || bytes > 700'000) {
            more = true;
            break;
        }
        bytes += r.value.size();
        rows.push_back(json::object{{"table", n[0]},
                                    {"part", n[1]},
                                    {"key", n[2]},
                                    {"value", toBase64(r.value)},
                                    {"ver", r.version}});
    }
    json::object out{{"rows", rows}, {"has_more", more}, {"ver", m_version}, {"now_ms", now()}};
    return response(200, {{"Content-Type", "application/json"}}, json::serialize(out));
}

std::string row_store::feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::int64_t after = std::stoll(query.at("after"));
    const auto waiting = query.find("wait_ms");
    const long long wait = waiting == query.end() ? 0 : std::stoll(waiting->second);
    std::unique_lock lock(m_mutex);
    const auto hasNew = [&] {
        return std::any_of(m_changes.rbegin(), m_changes.rend(),
                           [&](const change &c) { return c.version > after && c.table == table; });
    };
    m_changed.wait_for(lock, ms(wait), hasNew);
    json::array rows;
    for (const change &c : m_changes) {
        if (c.version <= after || c.table != table)
            continue;
        json::object o{{"table", c.table}, {"part", c.part}, {"key", c.key}, {"ver", c.version}};
        const auto found = m_rows.find({c.table, c.part, c.key});
        if (c.deleted)
            o["deleted"] = true;
        else if (found == m_rows.end() || found->second.version != c.version)
            continue; // A later change follows.
        else
            o["value"] = toBase64(found->second.value);
        rows.push_back(std::move(o));
    }
    json::object out{{"rows", rows}, {"ver", m_version}, {"now_ms", now()}};
    return response(200, {{"Content-Type", "application/json"}}, json::serialize(out));
}

bool row_store::answer(const http_message &m, connection &c)
{
    const std::string target = m.target();
    const std::string path = target.substr(0, target.find('?'));
    const trouble t = nextTrouble(path, m.body);
    if (t == trouble::Silent) {
        sleepMs(30'000);
        return false;
    }
    if (t == trouble::Unavailable)
        return c.send(response(503, {{"Content-Type", "application/json"}}, "{}"));
    const auto query = queryOf(target);
    sleepMs(2);
    std::string out;
    if (path == "/azurehill/rows-tx") {
        if (t == trouble::Late)
            sleepMs(lateMs);
        out = transact(m.body);
    } else if (path == "/azurehill/rows-get") {
        out = read(query);
    } else if (path == "/azurehill/rows-feed") {
        out = feed(query);
    } else {
        out = response(404, {}, "{}");
    }
    if (t == trouble::AnswerLost || t == trouble::Late)
        return false;
    return c.send(out);
}

daemon_process::~daemon_process()
{
    if (isRunning()) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        waitForEnd(5000);
    }
}

void daemon_process::start(const std::string &settings, const std::string &log)
{
    m_end.clear();
    const char *const binary = std::getenv("ENTRY");
    const std::string program = binary ? binary : "target/azurehill-entry";
    m_pid = ::fork();
    if (m_pid == 0) {
        // It must not outlive the scenario.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("AZUREHILL_SETTINGS", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "--metrics-port", "9464",
                static_cast<char *>(nullptr));
        std::_Exit(127);
    }
}

void daemon_process::signal(int number)
{
    if (isRunning())
        ::kill(m_pid, number);
}

bool daemon_process::isRunning()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit " + std::to_string(WEXITSTATUS(status));
    m_pid = -1;
    return false;
}

bool daemon_process::waitForEnd(long long time)
{
    const long long until = now() + time;
    while (isRunning() && now() < until)
        sleepMs(5);
    return m_pid < 0;
}

int freePorts(const std::string &ip, int count)
{
    for (int port = 20'000 + ::getpid() % 9000; port < 32'000; port += 50) {
        bool free = true;
        for (int i = 0; i < count && free; ++i) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type, 0);
                const sockaddr_in a = addressOf(ip, port + i);
                free = free && ::bind(fd, reinterpret_cast<const sockaddr *>(&a), sizeof a) == 0;
                ::close(fd);
            }
        }
        if (free)
            return port;
    }
    note("no free ports");
    std::_Exit(2);
}

std::string settingsOf(const host &h, const std::string &store, const std::vector<host> &all)
{
    const auto at = [&](int port) { return "\"" + h.ip + ":" + std::to_string(port) + "\""; };
    std::ostringstream s;
    s << "node_name = \"" << h.name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
      << "serves = [\"front\",\"control\",\"directory\"]\nip = \"" << h.ip << "\"\nzone = \""
      << h.zone << "\"\nregion = \"caribe\"\nport_range = [" << h.firstPort << ","
      << h.firstPort + 15 << "]\nseeds = [";
    for (std::size_t i = 0; i < all.size() && i < 3; ++i)
        s << (i ? "," : "") << "\"" << all[i].ip << ":" << all[i].control << "\"";
    s << "]\nbootstrap = true\nfault_counted = false\ndiscovery = \"platform\"\n"
      << "entry = \"directory\"\nheartbeat_ms = 1200\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\","
      << "\"engine\",\"platform\"]\n[zones]\nriohacha = \"caribe\"\nvalledupar = \"caribe\"\n"
      << "maicao = \"caribe\"\n[listen]\nfront = " << at(h.front) << "\nready = " << at(h.ready)
      << "\ncontrol = " << at(h.control) << "\ndirectory = " << at(h.directory)
      << "\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 130\nmax_fds = 8200\n"
      << "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 0\n"
      << "regions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\n"
      << "ack_ms = 4000\ncatch_up_s = 4.4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
      << "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12\n"
      << "pass_ms = 120\nagain_s = 0\nfinish_s = 10\nsettle_ms = 1000\nttl_max_s = 5\n"
      << "quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n"
      << "[provider]\naddress = \"" << store << "\"\nform = \"table\"\nwrites_per_s = 800\n"
      << "reads_per_s = 2000\ntx_ms = 3.0\npart_writes_s = 300\nrow_bytes = 65536\nacross = true\n"
      << "history_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\nblob_mb_s = 80.0\n";
    return s.str();
}

std::string address(int last)
{
    const int run = ::getpid();
    return "127." + std::to_string(20 + run / 200 % 200) + "." + std::to_string(1 + run % 200) + "."
        + std::to_string(last);
}

bool isReady(const host &h)
{
    connection c;
    if (!c.open(h.ip, h.ready))
        return false;
    c.setTimeout(1000);
    http_message m;
    return c.send("GET /azurehill/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        && c.readHead(m) && m.status() == 200;
}

bool waitReady(const host &h, long long time)
{
    const long long until = now() + time;
    while (now() < until) {
        if (isReady(h))
            return true;
        sleepMs(50);
    }
    return false;
}

attempt exchange(connection &c, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body, long long timeout)
{
    attempt a;
    a.sentAt = now();
    a.connected = c.isOpen();
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
        if (name == "X-Azurehill-Request-Id")
            a.id = value;
    }
    if (!body.empty() || method == "POST")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n" + body;
    c.setTimeout(timeout);
    if (c.send(out) && c.readHead(a.head)) {
        a.status = a.head.status();
        a.whole = c.readBody(a.head);
        a.body = a.head.body;
    }
    a.endedAt = now();
    if (!a.whole)
        a.error = c.lastError;
    if (!a.whole || isSameName(a.head.get("Connection"), "close"))
        c.close();
    return a;
}

std::string folder()
{
    const char *const set = std::getenv("SCRATCH");
    return set ? set : "/tmp";
}

bool hasTrouble()
{
    const char *const set = std::getenv("TROUBLE");
    return !set || std::string(set) != "0";
}

} // namespace review
