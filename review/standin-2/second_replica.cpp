// Two of sixteen engine replicas fail part of their requests (srv_grey): half of these begin and
// have their connection reset before an answer, half are refused before they run. The route takes
// one attempt (max_attempts 1) and its streams may be resumed. Checks BUDGET: no more than three
// requests run, in one client attempt, on more replicas than that.
#include "deployment.h"

using namespace world;

int main(int count, char **arguments)
{
    begin(count, arguments);
    store s;
    arrival_log arrivals;
    replica_options options;
    options.service = "agent-llm";
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 16; ++i) {
        replicas.push_back(
            std::make_unique<replica>(s, arrivals, "i-" + std::to_string(i + 1), options));
        replicas.back()->report("ready");
    }
    constexpr std::size_t greyReplicas = 2;
    constexpr double failingShare = 0.45;
    std::atomic<bool> isGrey{false};
    std::mutex mutex;
    std::mt19937 random(20261204);
    for (std::size_t i = 0; i < greyReplicas; ++i) {
        replicas[i]->choose = [&](const std::string &) {
            const std::lock_guard<std::mutex> lock(mutex);
            const double draw = std::uniform_real_distribution<double>(0, 1)(random);
            if (!isGrey || draw >= failingShare)
                return fate::Served;
            return draw < failingShare / 2 ? fate::ResetBeforeAnswer : fate::Shed;
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
            for (const auto &r : replicas)
                r->beat();
        }
    }).detach();
    sleepMs(4500);
    const std::int64_t begunAt = nowMs();
    std::thread([&] {
        for (int i = 0; i < 2; ++i) {
            sleepMs(2000);
            isGrey = isTroubled();
            if (isGrey)
                record("replicas i-1 and i-2 fail 0.45 of their requests for 6.5 s");
            sleepMs(6500);
            isGrey = false;
        }
    }).detach();
    std::mutex answersMutex;
    std::map<int, int> statuses;
    // Programs of three turns, each turn an attempt of its own.
    runClients(60, begunAt + 18000, [&](int i) {
        const std::string program = randomId();
        for (int turn = 0; turn < 3; ++turn) {
            client_request r;
            r.path = "/plan/x";
            r.body = "prompt of turn " + std::to_string(turn);
            r.headers = turnHeaders(program, "a" + program.substr(0, 8));
            const attempt a = send(*daemons[static_cast<std::size_t>(i) % daemons.size()], r);
            const std::lock_guard<std::mutex> lock(answersMutex);
            ++statuses[a.isComplete ? a.status : -a.status];
        }
        sleepMs(50);
    });
    std::map<std::string, std::set<std::string>> ranAt;
    for (const arrival &a : arrivals.all()) {
        if (a.hasRun)
            ranAt[a.request].insert(a.replica);
    }
    int broken = 0;
    for (const auto &[request, where] : ranAt) {
        if (where.size() < 2)
            continue;
        ++broken;
        std::string names;
        for (const std::string &name : where)
            names += " " + name;
        record("BUDGET: one attempt, %s, ran at%s", request.c_str(), names.c_str());
    }
    for (const auto &[status, number] : statuses)
        record("answers: %d times %d%s", number, std::abs(status),
               status < 0 ? " without an end" : "");
    record("%zu requests ran, %d of them at more than one replica", ranAt.size(), broken);
    if (statuses[200] == 0)
        stop(couldNotRun, "no request was served");
    // The rule allows three.
    constexpr int allowed = 3;
    stop(broken > allowed ? ruleBroken : ruleHeld,
         broken > allowed ? "BUDGET is broken" : "BUDGET held");
}
