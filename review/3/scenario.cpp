// A kept turn is removed with its program's rows, at the end of the retention time of another
// turn of the program.

#include "deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr int turnTokens = 20;
constexpr int tokensPerEvent = 2;
/// Retention of the turns on /page/ is 60 s, on /lesson/ 10 s.
constexpr const char *retentionText = "\"retention_s\":60.000000";
constexpr const char *shortRetention = "\"retention_s\":10.0";
/// Time from the first turn's end to the turn that goes on from it: half of its retention.
constexpr long long continueMs = 30'000;

/// \returns the small configuration with a shorter retention on the lessons' route.
std::string configuration()
{
    std::string text = smallConfiguration(7);
    const std::size_t lesson = text.find("lesson-guide");
    const std::string old = retentionText;
    text.replace(text.find(old, lesson), old.size(), shortRetention);
    return text;
}

} // namespace

int main()
{
    openRecord(std::getenv("RECORD"));
    deployment d(3);
    d.configure(configuration());
    for (int i = 0; i < 3; ++i) {
        d.addReplica("i-relatos-" + std::to_string(i), "relatos", 96,
                     [](const http_message &m, connection &c) {
                         return streamEvents(m, c, turnTokens / tokensPerEvent, 100);
                     });
    }
    d.start();
    sleepMs(1000);

    program p;
    p.budgetTokens = 1200;
    p.turnTokens = turnTokens;
    connection first;
    first.open(d.hosts()[0].ip, d.hosts()[0].front);
    const attempt draft = p.turn(first, "/page/1", "", "a page to draft");
    const long long ended = now();
    if (draft.status != 200 || !draft.whole)
        return 2;
    note("the turn " + draft.id + " was answered whole; its route's retention_s is 60");

    // Planned work: the daemon is stopped and started. The program goes on at another one.
    if (hasTrouble()) {
        note("platform: SIGTERM to " + d.hosts()[0].name);
        d.daemon(0).signal(SIGTERM);
        if (!d.daemon(0).waitForEnd(8000))
            return 2;
        note("platform: " + d.hosts()[0].name + " ended by " + d.daemon(0).endText()
             + " and is started again");
        d.restart(0);
        if (!waitReady(d.hosts()[0], 10'000))
            return 2;
    }
    connection second;
    const host &next = d.hosts()[hasTrouble() ? 1 : 0];
    sleepUntil(ended + 5000);
    second.open(next.ip, next.front);
    const attempt lesson = p.turn(second, "/lesson/1", draft.id, "a question of a helper");
    if (lesson.status != 200 || !lesson.whole)
        return 2;

    sleepUntil(ended + continueMs);
    note("rows of the program in the store: " + std::to_string(d.store().rowCount("turns", p.id)));
    connection third;
    third.open(d.hosts()[2].ip, d.hosts()[2].front);
    const attempt edit = p.turn(third, "/page/1", draft.id, "the translator's edit");
    const bool isBroken = edit.status == 404 || edit.status == 410;
    note("the turn that goes on from " + draft.id + ", " + std::to_string(edit.sentAt - ended)
         + " ms after that was answered, gets " + std::to_string(edit.status));
    if (!isBroken && edit.status != 200)
        return 2;
    note(isBroken ? "LOST is broken" : "LOST held");
    return isBroken ? 1 : 0;
}
