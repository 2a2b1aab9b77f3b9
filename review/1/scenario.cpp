// A daemon that is stopped by SIGTERM ends before its grace time allows, and cuts answers off.

#include "deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr int clients = 6;
constexpr int events = 45;
constexpr int tokensPerEvent = 2;
/// A request is sent 1.0 to 2.5 s after SIGTERM, on a connection that was open before.
constexpr long long firstSendMs = 1000;
constexpr long long sendStepMs = 300;
/// Each answer would end at this time after SIGTERM, before the last sixth of the grace time.
constexpr long long workEndMs = 6540;
constexpr long long lastSixthMs = 8000 * 5 / 6;
constexpr long long deadlineMs = 6000;

} // namespace

int main()
{
    openRecord(std::getenv("RECORD"));
    deployment d(3);
    d.configure(smallConfiguration(7));
    for (int i = 0; i < 3; ++i) {
        d.addReplica("i-relatos-" + std::to_string(i), "relatos", 96,
                     [](const http_message &m, connection &c) {
                         // The length of the turn's input stands for the time of its answer.
                         return streamEvents(m, c, events, static_cast<long long>(m.body.size()));
                     });
    }
    d.start();
    sleepMs(1500);

    const host &stopped = d.hosts()[0];
    const long long term = now() + 1000;
    std::atomic<int> cut{0};
    std::atomic<int> whole{0};
    std::atomic<bool> isBad{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            program p;
            p.budgetTokens = 1200;
            p.turnTokens = events * tokensPerEvent;
            connection c;
            c.open(stopped.ip, stopped.front);
            const attempt before = p.turn(c, "/page/1", "", std::string(200, 'a'));
            const long long offset = firstSendMs + i * sendStepMs;
            sleepUntil(term + offset);
            const attempt a = p.turn(c, "/page/1", "", std::string(workEndMs - offset, 'b'));
            if (before.status != 200 || !before.whole || !a.connected) {
                isBad = true;
                return;
            }
            const long long after = a.endedAt - term;
            const bool isInTime = a.endedAt - a.sentAt < deadlineMs && after < lastSixthMs;
            if (a.whole)
                ++whole;
            else if (isInTime && a.status == 200)
                ++cut;
            note("client: turn " + a.id + (a.whole ? " ended whole" : " was cut") + " "
                 + std::to_string(after) + " ms after SIGTERM, "
                 + std::to_string(a.endedAt - a.sentAt) + " ms after it was sent");
        });
    }
    sleepUntil(term);
    if (hasTrouble()) {
        note("platform: SIGTERM to " + stopped.name + "; grace_s is 8");
        d.daemon(0).signal(SIGTERM);
    }
    for (std::thread &t : threads)
        t.join();
    d.daemon(0).waitForEnd(hasTrouble() ? 2000 : 0);
    note("platform: " + stopped.name + " "
         + (d.daemon(0).isRunning() ? "runs" : "ended by " + d.daemon(0).endText()));
    note("answers whole: " + std::to_string(whole) + ", cut: " + std::to_string(cut));
    if (isBad)
        return 2;
    note(cut > 0 ? "LOST is broken" : "LOST held");
    return cut > 0 ? 1 : 0;
}
