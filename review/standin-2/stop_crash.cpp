// A daemon gets SIGTERM while turns are under way, and the store stops answering for 4.5 s before
// grace_s is over. Checks that the process ends by an exit, not by a signal of its own (SIGSEGV,
// SIGABRT).
#include "deployment.h"

using namespace world;

namespace {

/// The routes of nercro-hub: the system keeps what was said.
const char *const nercroConfiguration = R"({"version":7,"routes":[
 {"name":"code-lookup","hostname":"heat.example","prefix":"/lookup/","route_type":"streaming","retain_context":true,
  "timeout_ms":4000,"target_latency_ms":250,"gap_aim_ms":200,"priority":1,"service":"agent-models","max_attempts":2,
  "session_affinity":true,"retention_s":60}],
 "services":[
 {"name":"agent-models","max_connections":180,"health_path":"/health",
  "engine":{"slots":16,"kv_cache_tokens":123284,"tokens_per_event":9}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":30000}})";

} // namespace

int main(int count, char **arguments)
{
    begin(count, arguments);
    store s;
    arrival_log arrivals;
    replica_options options;
    options.service = "agent-models";
    options.slots = 16;
    options.queue = 48;
    // 24 events with pauses of 135 ms, within the sheet's 200 ms: 3.3 s.
    options.firstMs = 60;
    options.eventMs = 135;
    options.events = 24;
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 3; ++i) {
        replicas.push_back(
            std::make_unique<replica>(s, arrivals, "i-" + std::to_string(i + 1), options));
        replicas.back()->report("ready");
    }
    std::atomic<bool> isSilent{false};
    s.trouble = [&](connection &, message &) {
        if (!isSilent)
            return false;
        // The store is down: the call is not done and not answered.
        while (isSilent)
            sleepMs(20);
        return true;
    };
    s.put("op", "config", nercroConfiguration);
    deployment d = tapkendra(s, 2);
    d.limits = "cpu_share = 0.5\ncores = 1\nmemory_mb = 130\nmax_fds = 8200\nlink_mbps = "
               "1000.0\ndisk_mb = 0\n";
    d.bounds = "seed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = "
               "4.3\ndrain_ms = 2000\n"
               "grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = "
               "250\nmax_skew_ms = 5000\n"
               "recovery_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\nsettle_ms = "
               "1000\nttl_max_s = 5\n";
    std::vector<std::unique_ptr<entry>> daemons;
    for (std::size_t i = 0; i < d.ips.size(); ++i) {
        daemons.push_back(std::make_unique<entry>(d, i));
        daemons.back()->start();
    }
    const auto stop = [&](int status, const char *text) {
        for (const auto &e : daemons)
            e->kill(SIGKILL);
        finish(status, text);
    };
    if (!awaitReady(daemons, 15))
        stop(couldNotRun, "the daemons did not become ready");
    std::thread([&] {
        while (true) {
            sleepMs(1200);
            for (const auto &r : replicas)
                r->beat();
        }
    }).detach();
    sleepMs(3500);
    const std::int64_t terminatedAt = nowMs() + 1500;
    std::atomic<int> whole{0};
    std::atomic<int> other{0};
    // Clients keep a look-up for up to three times its time to live, so they go on to send requests
    // to the daemon for 3 s after its SIGTERM.
    std::thread clients([&] {
        runClients(24, terminatedAt + 3300, [&, isFirst = std::vector<char>(24, 1)](int i) mutable {
            if (std::exchange(isFirst[static_cast<std::size_t>(i)], 0) != 0)
                sleepMs(120 * i);
            const std::string program = randomId();
            client_request r;
            r.path = "/lookup/x";
            r.body = "prompt";
            r.headers = "X-Azurehill-Program-Id: " + program + "\r\nX-Azurehill-Session-Id: a"
                + program
                + "\r\nX-Azurehill-Finish-Ms: 8000\r\nX-Azurehill-Token-Usage: "
                  "900,216\r\nX-Azurehill-Token-Budget: 2000\r\n"
                + "X-Azurehill-Model: m\r\n";
            const attempt a = send(*daemons.front(), r);
            record("client: %s, sent %lld ms after SIGTERM, is answered %d, %d events, %s",
                   a.request.c_str(), static_cast<long long>(a.sentMs - terminatedAt), a.status,
                   a.events, a.isComplete ? "whole" : "without an end");
            (a.status == 200 && a.isComplete ? whole : other)++;
            if (a.status != 200)
                sleepMs(100);
        });
    });
    sleepMs(terminatedAt - nowMs());
    record("SIGTERM to front-1");
    daemons.front()->signal(SIGTERM);
    constexpr int outageMs = 4500;
    std::thread([&] {
        sleepMs(terminatedAt + 4000 - nowMs());
        isSilent = isTroubled();
        if (isSilent)
            record("the store is down for 4.5 s");
        sleepMs(outageMs);
        isSilent = false;
    }).detach();
    std::optional<int> status;
    constexpr std::int64_t graceMs = 8000;
    while (!status && nowMs() < terminatedAt + graceMs) {
        sleepMs(5);
        status = daemons.front()->ended();
    }
    clients.join();
    if (!status)
        stop(couldNotRun, "front-1 did not end within grace_s");
    const bool hasCrashed = WIFSIGNALED(*status);
    record("front-1 ended %lld ms after SIGTERM: %s %d",
           static_cast<long long>(nowMs() - terminatedAt), hasCrashed ? "signal" : "exit",
           hasCrashed ? WTERMSIG(*status) : WEXITSTATUS(*status));
    record("answers: %d whole, %d other", whole.load(), other.load());
    if (whole == 0)
        stop(couldNotRun, "no turn was served");
    stop(hasCrashed ? ruleBroken : ruleHeld,
         hasCrashed ? "the process crashed as it stopped" : "the process ended by itself");
}
