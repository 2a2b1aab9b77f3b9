// Replicas of an engine service are released two at a time; these two also fail part of their
// requests (srv_grey): they break their streams off before the end. Checks DRAIN: no request
// reaches a replica later than drain_ms after the store has accepted that it drains.
#include "deployment.h"

using namespace world;

int main(int count, char **arguments)
{
    begin(count, arguments);
    store s;
    arrival_log arrivals;
    replica_options options;
    options.service = "agent-llm";
    // Busy engines: 19 events in 3.2 s, which is within the objective's pauses of 300 ms.
    options.firstMs = 100;
    options.eventMs = 170;
    options.events = 19;
    std::vector<std::unique_ptr<replica>> replicas;
    std::mutex replicasMutex;
    std::atomic<bool> isGrey{false};
    std::mutex mutex;
    std::mt19937 random(20261204);
    constexpr double failingShare = 0.45;
    const auto add = [&] {
        const std::lock_guard<std::mutex> lock(replicasMutex);
        replicas.push_back(std::make_unique<replica>(
            s, arrivals, "i-" + std::to_string(replicas.size() + 1), options));
        replicas.back()->report("ready");
        return replicas.back().get();
    };
    for (int i = 0; i < 16; ++i)
        add();
    // Two of sixteen are grey, those that are released first.
    constexpr std::size_t greyReplicas = 2;
    for (std::size_t i = 0; i < greyReplicas; ++i) {
        replicas[i]->choose = [&](const std::string &) {
            const std::lock_guard<std::mutex> lock(mutex);
            return isGrey && std::uniform_real_distribution<double>(0, 1)(random) < failingShare
                ? fate::ResetBeforeEnd
                : fate::Served;
        };
    }
    s.put("op", "config", tapkendraConfiguration);
    const deployment d = tapkendra(s, 2);
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
            const std::lock_guard<std::mutex> lock(replicasMutex);
            for (const auto &r : replicas)
                r->beat();
        }
    }).detach();
    sleepMs(4500);
    const std::int64_t begunAt = nowMs();
    std::thread([&] {
        sleepMs(3000);
        if (!isTroubled())
            return;
        record("replicas i-1 and i-2 fail 0.45 of their requests for 6.5 s");
        isGrey = true;
        sleepMs(1500);
        // A release: the new ones start first, the old ones drain, and leave 1.5 s after the drain
        // time.
        constexpr int lingerMs = 1500;
        add();
        add();
        for (std::size_t i = 0; i < greyReplicas; ++i)
            replicas[i]->drain(drainMs, lingerMs);
        sleepMs(5000);
        isGrey = false;
    }).detach();
    std::mutex answersMutex;
    std::map<int, int> statuses;
    constexpr int clients = 110;
    runClients(
        clients, begunAt + 10000, [&, isFirst = std::vector<char>(clients, 1)](int i) mutable {
            // Clients don't begin all at once.
            if (std::exchange(isFirst[static_cast<std::size_t>(i)], 0) != 0)
                sleepMs(3300 * i / clients);
            const std::string program = randomId();
            client_request r;
            r.path = "/plan/x";
            r.body = "prompt";
            r.headers = turnHeaders(program, "a" + program.substr(0, 8));
            const attempt a = send(*daemons[static_cast<std::size_t>(i) % daemons.size()], r);
            const std::lock_guard<std::mutex> lock(answersMutex);
            ++statuses[a.isComplete ? a.status : -a.status];
        });
    int broken = 0;
    for (const arrival &a : arrivals.all()) {
        const std::size_t index = static_cast<std::size_t>(std::atoi(a.replica.c_str() + 2)) - 1;
        const std::int64_t drainingAt = replicas[index]->drainingAt();
        if (drainingAt == 0 || a.atMs <= drainingAt + drainMs)
            continue;
        ++broken;
        record("DRAIN: %s reached %s %lld ms after the store accepted that it drains%s%s",
               a.request.c_str(), a.replica.c_str(), static_cast<long long>(a.atMs - drainingAt),
               a.afterEvent.empty() ? "" : ", to go on after event ", a.afterEvent.c_str());
    }
    for (const auto &[status, number] : statuses)
        record("answers: %d times %d%s", number, std::abs(status),
               status < 0 ? " without an end" : "");
    record("%zu arrivals, %d of them later than drain_ms after the notice", arrivals.all().size(),
           broken);
    if (statuses[200] == 0)
        stop(couldNotRun, "no request was served");
    stop(broken > 0 ? ruleBroken : ruleHeld, broken > 0 ? "DRAIN is broken" : "DRAIN held");
}
