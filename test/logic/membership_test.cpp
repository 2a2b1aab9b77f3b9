#include "logic/cell_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace azurehill;

namespace {

void randomStep(cell &c, int size)
{
    const int i = *rc::gen::inRange(0, size);
    switch (*rc::gen::inRange(0, 14)) {
    case 0:
        return c.crash(i);
    case 1:
        return c.restart(i);
    case 2:
        return c.pause(i);
    case 3:
    case 4:
        return c.resume(i);
    case 5:
    case 6:
        return c.deliver(*rc::gen::inRange<std::size_t>(0, 100));
    case 7:
        return c.advance(milliseconds(*rc::gen::inRange(100, 4000)));
    case 8:
        return c.round(i);
    default:
        c.advance(milliseconds(*rc::gen::inRange(0, 120)));
        const bool sound = *rc::gen::inRange(0, 3) > 0;
        const auto f = sound ? fault::None : fault(*rc::gen::inRange(0, faultCount));
        return c.step(i, *rc::gen::inRange(0, 4), f);
    }
}

} // namespace

TEST_CASE("Members of a cell agree on who owns what, whatever befalls them")
{
    CHECK(rc::check("random histories", [] {
        const int size = *rc::gen::inRange(1, 5);
        cell c(size);
        const int steps = *rc::gen::inRange(0, 150);
        for (int s = 0; s < steps; ++s)
            randomStep(c, size);
        for (int i = 0; i < size; ++i)
            c.resume(i);
        settle(c, size);
        for (int i = 0; i < size; ++i) {
            const membership *m = c.at(i).logic.get();
            const member *listed = c.table().view.find(makeMember(i, 0).daemon);
            // With nobody left alive the last members stay listed until one starts.
            if (m || c.anyAlive())
                RC_ASSERT((listed != nullptr) == (m != nullptr));
            if (!m)
                continue;
            RC_ASSERT(listed->incarnation == m->self().incarnation);
            RC_ASSERT(m->isActive(c.now()));
            RC_ASSERT(acceptsPrograms(*listed));
        }
    }));
}

TEST_CASE("A dead daemon is removed within ttl + 2 margins + one poll")
{
    CHECK(rc::check("any moment of the kill, any phases of the polls", [] {
        const int size = *rc::gen::inRange(2, 6);
        cell c(size);
        settle(c, size);
        std::vector<int> phase;
        phase.reserve(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i)
            phase.push_back(*rc::gen::inRange(0, 25));
        const int killAt = *rc::gen::inRange(0, 200);
        time_point killed;
        for (int tick = 0; tick < 1000; ++tick, c.advance(milliseconds(10))) {
            if (tick == killAt) {
                killed = c.now();
                c.crash(0);
            }
            for (int i = 0; i < size; ++i) {
                if (tick % 25 == phase[static_cast<std::size_t>(i)])
                    c.round(i);
            }
            if (tick >= killAt && !c.table().view.find(makeMember(0, 0).daemon))
                break;
        }
        RC_ASSERT(c.now() - killed <= removalBound);
        RC_ASSERT(c.table().leases.count(makeMember(0, 0).daemon) == 0U);
    }));
}

TEST_CASE("Removal of members")
{
    cell c(3);
    settle(c, 3);
    SUBCASE("an observer whose reads fail removes nobody")
    {
        // A user sees all programs of a healthy daemon move. One daemon's scans time out for
        // longer than a lease while its small writes pass; it took silence for a stopped lease.
        for (int i = 0; i < 40; ++i, c.advance(pollPeriod)) {
            c.round(1);
            c.round(2);
            c.step(0, 0, fault::None);
            c.step(0, 1, fault::None);
            CHECK(c.at(0).logic->poll(c.now()).empty());
        }
    }
    SUBCASE("one that refuses connections goes early, but not while it renews")
    {
        // The network between daemons fails for one of them while it serves and renews on. The
        // others must not take its programs; of a dead one they should, and soon.
        c.at(0).logic->setRunsRefusingConnections(
            {{makeMember(1, 0).daemon, c.at(1).logic->self().incarnation}});
        for (int i = 0; i < 40; ++i, c.advance(pollPeriod)) {
            for (int n = 0; n < 3; ++n)
                c.round(n);
        }
        CHECK(c.table().view.members.size() == 3);
        const time_point killed = c.now();
        c.crash(1);
        while (c.table().view.members.size() == 3) {
            c.round(0);
            c.advance(pollPeriod);
        }
        CHECK(c.now() - killed <= 2 * lease.renewalInterval + lease.margin + pollPeriod);
    }
    SUBCASE("one that leaves takes its lease row along")
    {
        c.at(1).logic->leave();
        c.round(1);
        CHECK(c.at(1).logic->hasLeft());
        CHECK(c.table().leases.count(makeMember(1, 0).daemon) == 0);
    }
    SUBCASE("one that woke and renewed stays, though its removal was on the way")
    {
        // The removal was decided rightly and reached the table late; in between the paused daemon
        // woke and renewed. It would serve on, and each of its commits would fail.
        c.pause(1);
        for (int i = 0; i < 15; ++i, c.advance(pollPeriod)) {
            for (const int what : {0, 1, 2})
                c.step(0, what, fault::None);
            for (const int what : {0, 1, 2})
                c.step(2, what, fault::None);
        }
        c.step(0, 3, fault::AppliedLate);
        c.resume(1);
        c.round(1);
        CHECK(c.at(1).logic->isActive(c.now()));
        c.deliver(0);
        CHECK(c.table().view.members.size() == 3);
    }
    SUBCASE("one that came back is not removed on a read from before")
    {
        // A healthy daemon is removed again as soon as it is back. The third daemon missed the
        // views in which it went and came back, and knows its lease only as it stood still.
        c.pause(1);
        for (int i = 0; i < 20; ++i, c.advance(pollPeriod)) {
            c.round(0);
            c.step(2, 0, fault::None);
            c.step(2, 2, fault::None);
        }
        CHECK_FALSE(c.table().view.find(makeMember(1, 0).daemon));
        c.resume(1);
        c.round(1);
        c.round(0);
        c.round(1);
        CHECK(c.table().view.find(makeMember(1, 0).daemon));
        c.step(2, 1, fault::None);
        CHECK(c.at(2).logic->poll(c.now()).empty());
    }
}

TEST_CASE("A daemon that renews but can't read the view lets its lease lapse")
{
    // No daemon can join any more: each join waits for a member whose reads fail for good while its
    // renewals pass.
    cell c(2);
    settle(c, 2);
    for (int i = 0; i < 300; ++i, c.advance(pollPeriod)) {
        c.step(0, 0, fault::None);
        c.round(1);
    }
    CHECK_FALSE(c.table().view.find(makeMember(0, 0).daemon));
}

TEST_CASE("A run whose name was taken over stops")
{
    // Two processes are started under one name. Each would put itself in the other's place at
    // every poll, and all programs would move to and fro.
    table_model table;
    membership first(makeMember(0, 1), lease);
    membership second(makeMember(0, 2), lease);
    const auto turn = [&](membership &m) {
        m.onView(table.view, start);
        m.onRenewed(start);
        for (const membership_action &a : m.poll(start))
            table.apply(std::get<change_view>(a));
        m.onView(table.view, start);
    };
    turn(first);
    turn(second);
    turn(first);
    CHECK(first.isSuperseded());
    CHECK_FALSE(first.isActive(start));
    CHECK(table.view.number == 2);
    CHECK(second.isActive(start));
}

TEST_CASE("Rows that go back")
{
    cell c(1);
    settle(c, 1);
    SUBCASE("a lost view is written again under a higher number")
    {
        const fencing_number known = c.table().view.number;
        c.table().view = {};
        membership &m = *c.at(0).logic;
        m.onView(c.table().view, c.now());
        for (const membership_action &a : m.poll(c.now()))
            c.table().apply(std::get<change_view>(a));
        CHECK(c.table().view.number == known + 1);
    }
    SUBCASE("leases of daemons that never became members are deleted")
    {
        c.table().renew({{"z"}, "9", 1, 0, 0});
        for (int i = 0; i < 200; ++i, c.advance(pollPeriod))
            c.round(0);
        CHECK(c.table().leases.size() == 1);
    }
}
