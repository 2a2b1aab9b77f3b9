#include "logic/cell_model.h"

#include <doctest/doctest.h>

using namespace azurehill;

namespace {

constexpr int size = 4;

void ownerStep(cell &c, int i)
{
    const auto programs = testPrograms();
    // One bit a program: few random values, many calls.
    unsigned begins = *rc::gen::inRange(0U, 1U << programs.size());
    c.load(i);
    for (const program_id &id : programs) {
        if ((begins & 1U) != 0)
            c.beginCall(i, id);
        else
            c.endCall(i, id);
        begins >>= 1U;
    }
}

void messageStep(cell &c, int i)
{
    const bool sound = *rc::gen::inRange(0, 4) > 0;
    c.step(i, *rc::gen::inRange(0, 4),
           sound ? fault::None : fault(*rc::gen::inRange(0, faultCount)));
}

/// Starts of daemons, drains and the steps of both: nothing that fails but messages.
void gracefulStep(cell &c, std::set<int> &draining)
{
    const int i = *rc::gen::inRange(0, size);
    c.advance(milliseconds(*rc::gen::inRange(0, 50)));
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        if (!c.at(i).logic) {
            c.restart(i);
            draining.erase(i);
        }
        return;
    case 1:
        if (c.at(i).logic && draining.insert(i).second)
            c.at(i).logic->drain();
        return;
    case 2:
    case 3:
        return messageStep(c, i);
    case 4:
        return c.deliver(*rc::gen::inRange<std::size_t>(0, 100));
    case 5:
    case 6:
    case 7:
        c.round(i);
        if (draining.count(i) > 0U)
            c.continueDrain(i);
        return;
    default:
        return ownerStep(c, i);
    }
}

} // namespace

TEST_CASE("Joins and drains end no running call")
{
    // A user's reply is lost on a day of restarts: a daemon joined or drained while the call ran,
    // its program moved at once, and the old owner's commit of the end was fenced.
    CHECK(rc::check("random joins, drains and calls", [] {
        cell c(size);
        std::set<int> draining;
        settle(c, size);
        const int steps = *rc::gen::inRange(0, 160);
        for (int s = 0; s < steps; ++s)
            gracefulStep(c, draining);
        for (int i = 0; i < size; ++i) {
            c.round(i);
            c.load(i);
            for (const program_id &id : testPrograms())
                c.endCall(i, id);
            if (c.at(i).logic && c.at(i).logic->isActive(c.now()))
                RC_ASSERT(c.at(i).running.empty());
        }
        for (int i = 0; i < size; ++i)
            c.at(i).running.clear();
        for (int n = 0; n < 40; ++n) {
            settle(c, size);
            for (const int i : draining)
                c.continueDrain(i);
        }
        for (const member &m : c.table().view.members) {
            RC_ASSERT(draining.count(m.daemon.value[0] - 'a') == 0U);
            RC_ASSERT(m.keeps.empty());
        }
        // A renewal that the table applied after the last member left stays until one comes.
        if (!c.table().view.members.empty())
            RC_ASSERT(c.table().leases.size() == c.table().view.members.size());
    }));
}

TEST_CASE("An owner's memory holds all that was made durable before")
{
    // A translator's edits vanish: a paused daemon lost a program and regained it between two reads
    // of the view, took its old memory for the newest and wrote on from there.
    CHECK(rc::check("random crashes, pauses and calls", [] {
        cell c(size);
        const int steps = *rc::gen::inRange(0, 160);
        for (int s = 0; s < steps; ++s) {
            const int i = *rc::gen::inRange(0, size);
            c.advance(milliseconds(*rc::gen::inRange(0, 300)));
            switch (*rc::gen::inRange(0, 14)) {
            case 0:
                c.crash(i);
                break;
            case 1:
                c.restart(i);
                break;
            case 2:
                c.pause(i);
                c.advance(milliseconds(*rc::gen::inRange(0, 5000)));
                break;
            case 3:
            case 4:
                c.resume(i);
                break;
            case 5:
                messageStep(c, i);
                break;
            case 6:
            case 7:
            case 8:
                c.round(i);
                break;
            default:
                ownerStep(c, i);
            }
        }
    }));
}
