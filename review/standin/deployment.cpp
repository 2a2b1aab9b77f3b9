#include "deployment.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <unistd.h>

namespace review {

replica::replica(const std::string &id, const std::string &ip, run_function run)
    : m_id(id), m_run(std::move(run))
{
    m_server = std::make_unique<server>(ip, 0, [this](const http_message &m, connection &c) {
        const std::string expected = m.get("X-Azurehill-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return c.send(response(421, {{"X-Azurehill-Instance-Id", m_id}}, ""));
        return m_run(m, c);
    });
}

std::string replica::entry(const std::string &service, const std::string &state, int sequence,
                           int slots) const
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + m_server->address()
        + "\",\"zone\":\"riohacha\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
        + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq_no\":" + std::to_string(sequence)
        + "}";
}

deployment::deployment(int daemons)
{
    m_store = std::make_unique<row_store>(address(200), 0);
    const int port = freePorts(address(1), 24);
    for (int i = 0; i < daemons; ++i) {
        host h;
        h.name = "front-riohacha-" + std::to_string(i + 1);
        h.ip = address(i + 1);
        h.front = port;
        h.ready = port + 1;
        h.control = port + 2;
        h.directory = port + 3;
        h.firstPort = port + 4;
        m_hosts.push_back(h);
        m_daemons.push_back(std::make_unique<daemon_process>());
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        std::ofstream(settingsPath(i)) << settingsOf(m_hosts[i], m_store->address(), m_hosts);
}

deployment::~deployment()
{
    m_stop = true;
    if (m_beats.joinable())
        m_beats.join();
}

std::string deployment::settingsPath(std::size_t i) const
{
    return folder() + "/" + m_hosts[i].name + ".toml";
}

std::string deployment::logPath(std::size_t i) const
{
    return folder() + "/" + m_hosts[i].name + ".log";
}

void deployment::addReplica(const std::string &id, const std::string &service, int slots,
                            replica::run_function run)
{
    auto process
        = std::make_unique<replica>(id, address(100 + int(m_replicas.size())), std::move(run));
    m_store->put("servers", "", id, process->entry(service, "ready", 1, slots));
    m_replicas.push_back({std::move(process), service, slots});
}

void deployment::configure(const std::string &configuration)
{
    m_store->put("op", "", "config", configuration);
}

void deployment::beat()
{
    constexpr int heartbeatMs = 1200;
    while (!m_stop) {
        for (int i = 0; i < heartbeatMs / 50 && !m_stop; ++i)
            sleepMs(50);
        for (listed &r : m_replicas)
            m_store->put("servers", "", r.process->id(),
                         r.process->entry(r.service, "ready", ++r.sequence, r.slots));
    }
}

void deployment::start()
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        m_daemons[i]->start(settingsPath(i), logPath(i));
    m_beats = std::thread([this] { beat(); });
    for (const host &h : m_hosts) {
        if (!waitReady(h, 15'000)) {
            note(h.name + " is not ready");
            std::_Exit(2);
        }
    }
    note("all daemons are ready");
}

void deployment::restart(std::size_t i)
{
    m_daemons[i]->start(settingsPath(i), logPath(i));
}

std::string smallConfiguration(int version, double retentionSeconds)
{
    const std::string retention = std::to_string(retentionSeconds);
    const std::string turns = "\"hostname\":\"ficu95.example\",\"route_type\":\"streaming\","
                              "\"timeout_ms\":6000,\"target_latency_ms\":250,"
                              "\"service\":\"relatos\",\"max_attempts\":2,\"retain_context\":true,"
                              "\"retention_s\":"
        + retention + ",\"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":400";
    const std::string plain = "\"hostname\":\"ficu95.example\",\"service\":\"biblioteca\","
                              "\"priority\":2";
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":["
          "{\"name\":\"page-draft\",\"prefix\":\"/page/\",\"priority\":1,"
        + turns
        + "},"
          "{\"name\":\"lesson-guide\",\"prefix\":\"/lesson/\",\"priority\":0,"
        + turns
        + "},"
          "{\"name\":\"catalogue\",\"prefix\":\"/catalogue/\",\"route_type\":\"idempotent\","
          "\"timeout_ms\":1500,\"target_latency_ms\":250,\"max_attempts\":2,"
        + plain
        + "},"
          "{\"name\":\"book-download\",\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
          "\"timeout_ms\":6000,\"target_latency_ms\":800,\"max_attempts\":1,"
        + plain
        + "},"
          "{\"name\":\"proof-fetch\",\"prefix\":\"/proof/\",\"route_type\":\"non_idempotent\","
          "\"timeout_ms\":3000,\"target_latency_ms\":600,\"max_attempts\":1,"
        + plain
        + "}],"
          "\"services\":[{\"name\":\"relatos\",\"health_path\":\"/health\",\"max_connections\":480,"
          "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv_cache_tokens\":213037,"
          "\"kv_token_bytes\":131072,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,"
          "\"tokens_per_event\":2,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,"
          "\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
          "{\"name\":\"biblioteca\",\"health_path\":\"/health\",\"max_connections\":96,"
          "\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::vector<std::pair<std::string, std::string>> stamped(const http_message &request)
{
    return {{"X-Azurehill-Request-Id", request.get("X-Azurehill-Request-Id")},
            {"X-Azurehill-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"}};
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

bool streamEvents(const http_message &request, connection &c, int events, long long spanMs)
{
    const std::string id = request.get("X-Azurehill-Request-Id");
    const std::string previous = request.get("X-Azurehill-Previous-Turn");
    note("replica: runs turn " + id + " of program " + request.get("X-Azurehill-Program-Id")
         + (previous.empty() ? "" : ", after " + previous));
    const long long began = now();
    auto headers = stamped(request);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    bool sent = c.send(response(200, headers, ""));
    for (int i = 1; sent && i <= events; ++i) {
        sleepUntil(began + spanMs * i / events);
        const std::string number = std::to_string(i);
        sent = !c.hasPeerClosed()
            && c.send(chunk("id: " + number + "\ndata: word" + number + "\n\n"));
        if (!sent)
            note("replica: the daemon closed the connection of " + id + " before event " + number
                 + " of " + std::to_string(events));
    }
    if (!sent || !c.send("0\r\n\r\n"))
        return false;
    note("replica: ended turn " + id + " after its " + std::to_string(events) + " events");
    return true;
}

int eventsIn(const std::string &body)
{
    int count = 0;
    for (std::size_t at = 0; (at = body.find("data:", at)) != std::string::npos; ++at)
        ++count;
    return count;
}

namespace {

/// Time from a program's first turn until it should be finished.
constexpr long long finishMs = 20'000;

} // namespace

attempt program::turn(connection &c, const std::string &path, const std::string &previous,
                      const std::string &body)
{
    const long long finish = std::max(0LL, began + finishMs - now());
    std::vector<std::pair<std::string, std::string>> headers{
        {"Host", "ficu95.example"},
        {"X-Azurehill-Request-Id", newId()},
        {"X-Azurehill-Program-Id", id},
        {"X-Azurehill-Session-Id", id},
        {"X-Azurehill-Finish-Ms", std::to_string(finish)},
        {"X-Azurehill-Token-Budget", std::to_string(budgetTokens)},
        {"X-Azurehill-Token-Usage", "100," + std::to_string(turnTokens)},
        {"X-Azurehill-Request-Deadline", "6000"}};
    if (!previous.empty())
        headers.emplace_back("X-Azurehill-Previous-Turn", previous);
    constexpr long long gapLimit = 6500;
    attempt a = exchange(c, "POST", path, headers, body, gapLimit);
    note("client: turn " + a.id + " on " + path + (previous.empty() ? "" : " after " + previous)
         + ", sent at " + std::to_string(a.sentAt) + " ms: "
         + (a.status == 0 ? "no answer, " + a.error : "status " + std::to_string(a.status))
         + (a.status != 0 && !a.whole ? ", not whole, " + a.error : "")
         + (a.status == 200 ? ", " + std::to_string(eventsIn(a.body)) + " events" : " " + a.body));
    return a;
}

} // namespace review
