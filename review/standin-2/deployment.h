// A small deployment with the settings and routes of tapkendra-ktm-grown.
#pragma once

#include "replica.h"

namespace world {

constexpr int drainMs = 3000;

inline const char *const tapkendraConfiguration = R"({"version":7,"routes":[
 {"name":"load-plan","hostname":"heat.example","prefix":"/plan/","route_type":"streaming","resumable":true,
  "timeout_ms":4000,"target_latency_ms":250,"gap_aim_ms":300,"priority":0,"service":"agent-llm","max_attempts":1,
  "session_affinity":true,"retention_s":60},
 {"name":"valve-set","hostname":"heat.example","prefix":"/valve/","route_type":"non_idempotent",
  "timeout_ms":5000,"target_latency_ms":600,"priority":2,"service":"heat-ops","max_attempts":1}],
 "services":[
 {"name":"agent-llm","max_connections":420,"health_path":"/health",
  "engine":{"slots":8,"kv_cache_tokens":99635,"tokens_per_event":7}},
 {"name":"heat-ops","max_connections":380,"health_path":"/health"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":30000}})";

inline deployment tapkendra(const store &s, std::size_t daemons)
{
    deployment d;
    d.storeAddress = s.address();
    d.folder = scratchFolder();
    d.ips = loopbackAddresses(daemons);
    d.firstPort = freePorts(d.ips.front(), 30);
    d.limits = "cpu_share = 0.5\ncores = 1\nmemory_mb = 512\nmax_fds = 8200\nlink_mbps = "
               "600.0\ndisk_mb = 0\n";
    d.bounds = "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\nack_ms = 6000\ncatch_up_s = "
               "6\ndrain_ms = 3000\n"
               "grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = "
               "250\nmax_skew_ms = 6000\n"
               "quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\nrecovery_s = "
               "15\npass_ms = 200\nagain_s = 0\n"
               "finish_s = 10\nsettle_ms = 1000\nttl_max_s = 5\n";
    return d;
}

/// Header lines of a turn of \p program.
inline std::string turnHeaders(const std::string &program, const std::string &session)
{
    return "X-Azurehill-Program-Id: " + program + "\r\nX-Azurehill-Session-Id: " + session
        + "\r\nX-Azurehill-Finish-Ms: 8000\r\nX-Azurehill-Token-Usage: "
          "900,140\r\nX-Azurehill-Token-Budget: 2000\r\n"
        + "X-Azurehill-Model: m\r\nX-Azurehill-Prompt-Prefix: 5c1e07a2:600," + session + ":300\r\n";
}

/// Runs \p one again and again on \p threads threads until \p untilMs.
inline void runClients(int threads, std::int64_t untilMs, const std::function<void(int)> &one)
{
    std::vector<std::thread> all;
    for (int i = 0; i < threads; ++i) {
        all.emplace_back([&, i] {
            while (nowMs() < untilMs)
                one(i);
        });
    }
    for (std::thread &t : all)
        t.join();
}

/// A script's part that is the same in all: opens record.txt, which the first argument names.
inline void begin(int count, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count > 1)
        recordFile = std::fopen(arguments[1], "w");
    startedAt = clock::now();
}

/// Ends the process without waiting for threads; the daemons have been ended.
[[noreturn]] inline void finish(int status, const char *text)
{
    record("%s", text);
    std::fprintf(stdout, "%s\n", text);
    std::fflush(nullptr);
    _exit(status);
}

} // namespace world
