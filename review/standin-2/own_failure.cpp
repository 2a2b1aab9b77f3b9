// One of eight replicas of a plain service fails part of its requests (srv_grey): it begins them
// and then answers 503 of its own, without X-Azurehill-Not-Run. Checks REFUSED: no request that
// isn't idempotent is answered 429, 503, 408 or 421 although it ran.
#include "deployment.h"

using namespace world;

int main(int count, char **arguments)
{
    begin(count, arguments);
    store s;
    arrival_log arrivals;
    replica_options options;
    options.service = "heat-ops";
    options.slots = 6;
    options.isStream = false;
    options.firstMs = 60;
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 8; ++i) {
        replicas.push_back(
            std::make_unique<replica>(s, arrivals, "i-" + std::to_string(i + 1), options));
        replicas.back()->failureBody = "the work was begun and did not end well";
        replicas.back()->report("ready");
    }
    std::atomic<bool> isGrey{false};
    std::mutex mutex;
    std::mt19937 random(20261204);
    constexpr double failingShare = 0.4;
    replicas.front()->choose = [&](const std::string &) {
        const std::lock_guard<std::mutex> lock(mutex);
        return isGrey && std::uniform_real_distribution<double>(0, 1)(random) < failingShare
            ? fate::Own503
            : fate::Served;
    };
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
    // Machines are in touch after contact_ms.
    sleepMs(4500);
    const std::int64_t greyAt = nowMs() + 1000;
    std::thread([&] {
        sleepMs(greyAt - nowMs());
        isGrey = isTroubled();
        if (isGrey)
            record("replica i-1 fails two fifths of its requests for 6.5 s");
        sleepMs(6500);
        isGrey = false;
    }).detach();
    std::mutex answersMutex;
    std::vector<attempt> answers;
    std::atomic<int> lastJob{0};
    // A client retries once, and a request that isn't idempotent only after a promise.
    runClients(12, greyAt + 7500, [&](int i) {
        client_request r;
        const int job = ++lastJob;
        r.path = "/valve/set";
        r.body = "{\"job\":" + std::to_string(job) + "}";
        r.deadlineMs = 5000;
        for (int tries = 0; tries < 2; ++tries) {
            const attempt a = send(*daemons[static_cast<std::size_t>(i) % daemons.size()], r);
            {
                const std::lock_guard<std::mutex> lock(answersMutex);
                answers.push_back(a);
            }
            if (a.status == 200 && tries == 0)
                break;
            record("client: job %d, request %s is answered %d, stamp '%s'", job, a.request.c_str(),
                   a.status, a.stamp.c_str());
            if (a.status != 503)
                break;
            sleepMs(50);
        }
        sleepMs(60);
    });
    std::map<std::string, int> runs;
    for (const arrival &a : arrivals.all())
        runs[a.request] += a.hasRun ? 1 : 0;
    int broken = 0;
    int served = 0;
    for (const attempt &a : answers) {
        served += a.status == 200 ? 1 : 0;
        const bool isPromise
            = a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421;
        if (isPromise && runs[a.request] > 0) {
            ++broken;
            record("REFUSED: %s was answered %d and has run", a.request.c_str(), a.status);
        }
    }
    record("%zu requests, %d served, %d answered with a promise although they ran", answers.size(),
           served, broken);
    if (served == 0)
        stop(couldNotRun, "no request was served");
    stop(broken > 0 ? ruleBroken : ruleHeld, broken > 0 ? "REFUSED is broken" : "REFUSED held");
}
