// A replica of a service, as PROTOCOL.md describes it: slots, a short queue, refusals that say so,
// answers with its stamp, event streams that may be resumed.
#pragma once

#include "world.h"

namespace world {

/// What becomes of one request at a replica.
enum class fate {
    Served,
    /// Refused before it runs: 503 with X-Azurehill-Not-Run.
    Shed,
    /// Runs; the connection is reset in place of the answer.
    ResetBeforeAnswer,
    /// Runs; the stream is reset after its last event, before its end.
    ResetBeforeEnd,
    /// Runs; the replica's own failure 503, which does not say that the request did not run.
    Own503
};

struct arrival
{
    std::string request;
    std::string replica;
    std::int64_t atMs = 0;
    bool hasRun = false;
    std::string afterEvent;
};

/// All that arrived at replicas.
class arrival_log
{
public:
    void add(const arrival &a)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_all.push_back(a);
    }
    std::vector<arrival> all() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_all;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<arrival> m_all;
};

struct replica_options
{
    std::string service;
    int slots = 8;
    int queue = 24;
    /// Time before the first byte, and between events.
    int firstMs = 80;
    int eventMs = 40;
    int events = 6;
    bool isStream = true;
};

class replica
{
public:
    replica(store &s, arrival_log &log, std::string id, replica_options o)
        : m_store(s), m_log(log), m_id(std::move(id)), m_options(std::move(o)), m_born(unixMs()),
          m_server("127.0.0.1", [this](connection &c, message &m) { return answer(c, m); })
    { }

    /// Chooses the fate of a request; called once a request.
    std::function<fate(const std::string &request)> choose;
    std::string failureBody;

    void report(const std::string &state)
    {
        m_store.put("servers", m_id,
                    replicaEntry(m_options.service, m_server.address(), state, m_options.slots,
                                 ++m_sequence, m_born));
    }
    /// Says what it says of itself again, as each heartbeat.
    void beat()
    {
        if (!m_hasLeft)
            report(m_isDraining ? "draining" : "ready");
    }
    /// Reports that it drains, and leaves \p lingerMs after the drain time.
    void drain(int drainMs, int lingerMs)
    {
        m_isDraining = true;
        report("draining");
        m_drainingAt = nowMs();
        record("replica %s is draining: the store has accepted it", m_id.c_str());
        std::thread([this, drainMs, lingerMs] {
            sleepMs(drainMs + lingerMs);
            m_hasLeft = true;
            m_store.remove("servers", m_id);
            m_server.stop();
            record("replica %s has left", m_id.c_str());
        }).detach();
    }
    const std::string &id() const { return m_id; }
    /// When the store accepted that it drains; 0 if it does not.
    std::int64_t drainingAt() const { return m_drainingAt; }
    bool isDraining() const { return m_isDraining; }
    int running() const { return m_running; }

private:
    std::string head(const message &m, int status, const std::string &more) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Azurehill-Request-Id: "
            + m.get("x-azurehill-request-id") + "\r\nX-Azurehill-Server-Stamp: " + m_id + "."
            + m.get("x-azurehill-request-id") + "\r\nX-Azurehill-Weight-Versions: 1\r\n" + more;
    }
    bool refuse(connection &c, const message &m, int status) const
    {
        const std::string body = "{}";
        return c.write("HTTP/1.1 " + std::to_string(status)
                       + " X\r\nX-Azurehill-Request-Id: " + m.get("x-azurehill-request-id")
                       + "\r\nX-Azurehill-Not-Run: 1\r\nContent-Length: 2\r\n\r\n" + body);
    }

    bool answer(connection &c, message &m)
    {
        if (m_hasLeft) {
            c.reset();
            return false;
        }
        const std::string id = m.get("x-azurehill-request-id");
        arrival a{id, m_id, nowMs(), false, m.get("last-event-id")};
        const std::string expected = m.get("x-azurehill-expect-instance");
        if (!expected.empty() && expected != m_id) {
            m_log.add(a);
            return refuse(c, m, 421);
        }
        if (id.empty())
            return refuse(c, m, 400);
        const fate what = choose ? choose(id) : fate::Served;
        const auto until = clock::now()
            + std::chrono::milliseconds(std::max(
                1, std::atoi(m.get("x-azurehill-request-deadline").c_str())));
        if (what == fate::Shed || !enter(until, c)) {
            m_log.add(a);
            record("replica %s refuses %s: it has not run", m_id.c_str(), id.c_str());
            return refuse(c, m, 503);
        }
        a.hasRun = true;
        m_log.add(a);
        record("replica %s runs %s%s%s", m_id.c_str(), id.c_str(),
               a.afterEvent.empty() ? "" : " after event ", a.afterEvent.c_str());
        const bool goesOn = run(c, m, what, until);
        --m_running;
        return goesOn;
    }

    /// Waits for a slot in the queue. \returns false if the queue is full or the time is over.
    bool enter(clock::time_point until, const connection &c)
    {
        if (m_waiting.fetch_add(1) >= m_options.queue + m_options.slots) {
            --m_waiting;
            return false;
        }
        while (clock::now() < until && !c.isPeerGone()) {
            int running = m_running;
            if (running < m_options.slots
                && m_running.compare_exchange_strong(running, running + 1)) {
                --m_waiting;
                return true;
            }
            sleepMs(2);
        }
        --m_waiting;
        return false;
    }

    bool run(connection &c, const message &m, fate what, clock::time_point until)
    {
        const std::string id = m.get("x-azurehill-request-id");
        sleepMs(m_options.firstMs);
        if (what == fate::ResetBeforeAnswer) {
            record("replica %s has run %s and resets its connection", m_id.c_str(), id.c_str());
            c.reset();
            return false;
        }
        if (what == fate::Own503) {
            record("replica %s has run %s and answers 503 of its own", m_id.c_str(), id.c_str());
            return c.write(head(m, 503,
                                "Content-Type: text/plain\r\nContent-Length: "
                                    + std::to_string(failureBody.size()) + "\r\n\r\n")
                           + failureBody);
        }
        if (!m_options.isStream) {
            const std::string body = "done " + id;
            return c.write(
                head(m, 200, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body);
        }
        if (!c.write(head(m, 200,
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")))
            return false;
        const int after = std::atoi(m.get("last-event-id").c_str());
        for (int i = after + 1; i <= m_options.events; ++i) {
            const std::string event
                = "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (c.isPeerGone() || clock::now() > until || !c.write(size + event + "\r\n"))
                return false;
            sleepMs(m_options.eventMs);
        }
        if (what == fate::ResetBeforeEnd) {
            record("replica %s breaks off its stream of %s", m_id.c_str(), id.c_str());
            c.reset();
            return false;
        }
        return c.write("0\r\n\r\n");
    }

    store &m_store;
    arrival_log &m_log;
    std::string m_id;
    replica_options m_options;
    std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_hasLeft{false};
    std::atomic<std::int64_t> m_drainingAt{0};
    server m_server;
};

/// What a client saw of one attempt.
struct attempt
{
    std::string request;
    int status = 0;
    bool isComplete = false;
    std::string stamp;
    std::string body;
    double retryAfterS = -1;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    int events = 0;
};

struct client_request
{
    std::string path;
    std::string body;
    int deadlineMs = 4000;
    /// Further header lines, each with its end.
    std::string headers;
};

/// Sends one attempt over a new connection, and reads its answer.
inline attempt send(const entry &to, const client_request &r)
{
    attempt a;
    a.request = randomId();
    a.sentMs = nowMs();
    connection c;
    message m;
    const auto until = clock::now() + std::chrono::milliseconds(r.deadlineMs + 500);
    if (!c.open(to.ip(), to.port()))
        return a;
    c.write("POST " + r.path
            + " HTTP/1.1\r\nHost: heat.example\r\nX-Azurehill-Request-Id: " + a.request
            + "\r\nX-Azurehill-Request-Deadline: " + std::to_string(r.deadlineMs) + "\r\n"
            + r.headers + "Content-Length: " + std::to_string(r.body.size()) + "\r\n\r\n" + r.body);
    if (c.readHead(m, until)) {
        a.status = m.status();
        a.stamp = m.get("x-azurehill-server-stamp");
        if (!m.get("retry-after").empty())
            a.retryAfterS = std::atof(m.get("retry-after").c_str());
        a.isComplete = c.readBody(m, until);
        a.body = m.body;
        for (std::size_t at = 0; (at = m.body.find("\n\n", at)) != std::string::npos; at += 2)
            ++a.events;
    }
    a.endedMs = nowMs();
    return a;
}

/// Waits until all of \p daemons are ready. \returns false after \p seconds.
inline bool awaitReady(const std::vector<std::unique_ptr<entry>> &daemons, int seconds)
{
    for (int i = 0; i < seconds * 10; ++i) {
        if (std::all_of(daemons.begin(), daemons.end(), [](const auto &d) { return d->isReady(); }))
            return true;
        sleepMs(100);
    }
    return false;
}

} // namespace world
