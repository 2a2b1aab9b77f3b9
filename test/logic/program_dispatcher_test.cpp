// The rules of docs/design/program-dispatch.md, part 1, one case or more for each.
#include "dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <set>

namespace azurehill {

namespace {

using slot_answer = std::variant<slot_queued, slot_grant, slot_refusal>;

/// \brief A dispatcher whose daemons renew their tickets unless they are silent.
struct dispatcher_fixture
{
    explicit dispatcher_fixture(int replicas, int slots = 1, duration age = seconds(4))
    {
        for (int i = 0; i < replicas; ++i)
            listed.push_back({replica(i), slots});
        dispatcher.setReplicas(listed, now);
        advance(age);
        if (age > duration::zero())
            warmUp();
    }

    /// \brief Lets programs of another route begin and end, so that a first turn may expect one
    /// more to begin every 100 ms. Without that, first turns that can't begin are refused at once.
    void warmUp()
    {
        for (int i = 0; i < 20; ++i) {
            slot_request r = request("warm" + std::to_string(i));
            r.route = "warm";
            send(r);
            release(r.ticket);
        }
        advance(milliseconds(700));
    }

    static replica_incarnation replica(int i) { return {{"r" + std::to_string(i)}, 1}; }

    slot_request request(const std::string &program, const std::string &session = "")
    {
        slot_request r;
        r.ticket = {{"d1"}, 1, ++lastNumber};
        r.service = "model";
        r.route = "plan";
        r.program = {program};
        r.session = session;
        r.timeToFinish = seconds(20);
        r.timeLeft = seconds(4);
        r.promptTokens = 3000;
        return r;
    }
    slot_ticket send(const slot_request &r)
    {
        active[r.ticket] = r;
        dispatcher.onRequest(r, now);
        collect();
        return r.ticket;
    }
    slot_ticket send(const std::string &program) { return send(request(program)); }
    void release(const slot_ticket &ticket, send_outcome outcome = send_outcome::Answered)
    {
        active.erase(ticket);
        slot_release r;
        r.ticket = ticket;
        r.outcome = outcome;
        dispatcher.onRelease(r, now);
        collect();
    }
    void renew(const daemon_id &daemon)
    {
        slot_renewal renewal{daemon, 1, "model", 0, {}};
        for (const auto &[ticket, r] : active) {
            if (ticket.daemon == daemon)
                renewal.tickets.push_back(
                    {ticket.number, r.program, r.session,
                     grantOf(ticket) ? grantOf(ticket)->replica : replica_incarnation(), 100});
        }
        dispatcher.onRenewal(renewal, now);
        collect();
    }
    void advance(duration time)
    {
        for (const time_point end = now + time; now < end;) {
            now += milliseconds(10);
            dispatcher.update(now);
            collect();
            if (now.time_since_epoch() % milliseconds(250) != duration::zero())
                continue;
            for (const daemon_id &daemon : daemons) {
                if (!silent.contains(daemon))
                    renew(daemon);
            }
        }
    }
    void collect()
    {
        for (const slot_decision &d : dispatcher.takeDecisions()) {
            answers[d.request.ticket] = d.answer;
            if (std::holds_alternative<slot_refusal>(d.answer))
                active.erase(d.request.ticket);
            if (std::holds_alternative<slot_grant>(d.answer))
                grantOrder.push_back(d.request.program.value);
        }
    }
    template <class Answer>
    const Answer *last(const slot_ticket &ticket) const
    {
        const auto found = answers.find(ticket);
        return found == answers.end() ? nullptr : std::get_if<Answer>(&found->second);
    }
    const slot_grant *grantOf(const slot_ticket &t) const { return last<slot_grant>(t); }
    const slot_refusal *refusalOf(const slot_ticket &t) const { return last<slot_refusal>(t); }
    bool isQueued(const slot_ticket &t) const { return last<slot_queued>(t) != nullptr; }
    int inFlight() const { return dispatcher.gauges(now).inFlight; }
    /// \brief Lets \p program begin and end its first turn.
    replica_incarnation runFirstTurn(const std::string &program)
    {
        const slot_ticket ticket = send(program);
        REQUIRE(grantOf(ticket));
        release(ticket);
        return grantOf(ticket)->replica;
    }

    time_point now{seconds(1000)};
    program_dispatcher dispatcher{1, now};
    std::vector<engine_replica> listed;
    std::vector<daemon_id> daemons{{"d1"}, {"d2"}};
    std::set<daemon_id> silent;
    std::map<slot_ticket, slot_request> active;
    std::map<slot_ticket, slot_answer> answers;
    /// Programs in the order of their grants, repeated answers included.
    std::vector<std::string> grantOrder;
    std::uint64_t lastNumber = 0;
};

} // namespace

TEST_SUITE("program dispatcher")
{
    // Guards against a second slot for a request that was sent again since its answer was lost.
    TEST_CASE("a repeated request gets the same answer")
    {
        dispatcher_fixture f(1);
        const slot_request first = f.request("a");
        f.send(first);
        REQUIRE(f.grantOf(first.ticket));
        const slot_request second = f.request("b");
        f.send(second);
        CHECK(f.isQueued(second.ticket));

        SUBCASE("a grant, which takes no second slot")
        {
            f.send(first);
            CHECK(f.grantOf(first.ticket));
            CHECK(f.inFlight() == 1);
        }
        SUBCASE("a place in the queue")
        {
            f.send(second);
            CHECK(f.isQueued(second.ticket));
            CHECK(f.dispatcher.gauges(f.now).queuedFirstTurns == 1);
        }
        SUBCASE("a refusal, also while a slot is free by then")
        {
            f.advance(milliseconds(1100));
            REQUIRE(f.refusalOf(second.ticket));
            const duration retryAfter = f.refusalOf(second.ticket)->retryAfter;
            f.release(first.ticket);
            f.send(second);
            REQUIRE(f.refusalOf(second.ticket));
            CHECK(f.refusalOf(second.ticket)->retryAfter == retryAfter);
        }
        SUBCASE("none that takes a slot after the release, nor if the release came first")
        {
            f.release(first.ticket);
            f.release(second.ticket);
            f.send(first);
            CHECK(f.refusalOf(first.ticket));
            const slot_request overtaken = f.request("c");
            f.release(overtaken.ticket);
            f.send(overtaken);
            CHECK(f.refusalOf(overtaken.ticket));
            CHECK(f.inFlight() == 0);
        }
    }

    // Guards against slots that stay taken since a datagram or a daemon was lost.
    TEST_CASE("a slot whose release never arrives is freed")
    {
        dispatcher_fixture f(1);
        slot_request lost = f.request("a");
        lost.ticket.daemon = {"d2"};
        f.send(lost);
        REQUIRE(f.inFlight() == 1);

        SUBCASE("a lost release is found by two renewals")
        {
            f.advance(milliseconds(500));
            f.active.erase(lost.ticket);
            f.renew({"d2"});
            CHECK(f.inFlight() == 1);
            f.renew({"d2"});
            CHECK(f.inFlight() == 0);
        }
        SUBCASE("one renewal that was overtaken by the grant releases nothing")
        {
            f.active.erase(lost.ticket);
            f.renew({"d2"});
            f.active[lost.ticket] = lost;
            f.advance(seconds(3));
            CHECK(f.inFlight() == 1);
        }
        SUBCASE("a daemon that left the members frees its slots at once")
        {
            f.dispatcher.releaseUnless(
                [](const slot_ticket &ticket) { return ticket.daemon.value != "d2"; }, f.now);
            CHECK(f.inFlight() == 0);
        }
        SUBCASE("a daemon that is silent frees its slots after 1.5 s")
        {
            f.silent.insert({"d2"});
            f.advance(milliseconds(1400));
            CHECK(f.inFlight() == 1);
            f.advance(milliseconds(200));
            CHECK(f.inFlight() == 0);
        }
        SUBCASE("its queued requests are dropped as well")
        {
            slot_request queued = f.request("b");
            queued.ticket.daemon = {"d2"};
            f.send(queued);
            REQUIRE(f.dispatcher.hasQueued());
            f.dispatcher.releaseUnless([](const slot_ticket &) { return false; }, f.now);
            CHECK(!f.dispatcher.hasQueued());
            CHECK(f.inFlight() == 0);
        }
    }

    // Guards against a delayed request that is told of a slot which another turn has by then.
    TEST_CASE("a ticket that counted as released gets no slot again")
    {
        dispatcher_fixture f(1);
        const slot_request gone = f.request("a");
        f.send(gone);
        const slot_request waiting = f.request("b");
        f.send(waiting);
        f.dispatcher.releaseUnless([](const slot_ticket &) { return false; }, f.now);
        const slot_ticket next = f.send("c");
        REQUIRE(f.grantOf(next));
        f.send(gone);
        CHECK(f.refusalOf(gone.ticket));
        // Nothing is queued for it, so it would wait until its client leaves.
        f.send(waiting);
        CHECK(f.refusalOf(waiting.ticket));
    }

    TEST_CASE("a grant of which its daemon was not told can be revoked")
    {
        dispatcher_fixture f(1);
        const slot_request held = f.request("a");
        f.send(held);
        const slot_ticket next = f.send("b");
        f.dispatcher.revoke(held.ticket, slot_refusal_reason::TokensNotHeld, seconds(2), f.now);
        f.collect();
        CHECK(f.grantOf(next));
        f.send(held);
        REQUIRE(f.refusalOf(held.ticket));
        CHECK(f.refusalOf(held.ticket)->reason == slot_refusal_reason::TokensNotHeld);
    }

    // Guards against tickets that count as released because a renewal in parts lists them in
    // another part.
    TEST_CASE("a part of a renewal says nothing of tickets outside its range")
    {
        dispatcher_fixture f(2);
        const slot_ticket low = f.send("a");
        const slot_ticket high = f.send("b");
        REQUIRE(low.number < high.number);
        slot_renewal part{low.daemon, low.incarnation, "model", 0, {}, 0, low.number};
        part.tickets = {{low.number, {"a"}, "", f.replica(0), 100}};
        for (int i = 0; i < 4; ++i) {
            f.advance(milliseconds(250));
            f.dispatcher.onRenewal(part, f.now);
        }
        CHECK(f.inFlight() == 2);

        SUBCASE("and releases those inside it that it leaves out")
        {
            part.tickets.clear();
            f.dispatcher.onRenewal(part, f.now);
            f.dispatcher.onRenewal(part, f.now);
            CHECK(f.inFlight() == 1);
        }
    }

    // Guards against a new dispatcher that fills engines which are full already.
    TEST_CASE("a new dispatcher adopts turns in flight from renewals")
    {
        dispatcher_fixture f(2, 1, duration::zero());
        const slot_renewal renewal{
            {"d2"}, 7, "model", 0, {{1, {"old"}, "s", f.replica(0), 100}, {2, {"w"}, "", {}, 100}}};
        f.dispatcher.onRenewal(renewal, f.now);
        CHECK(f.inFlight() == 1);

        SUBCASE("nothing is granted until the renewals are collected, and then what is free")
        {
            const slot_ticket a = f.send("a");
            f.advance(milliseconds(290));
            CHECK(f.isQueued(a));
            f.advance(milliseconds(20));
            REQUIRE(f.grantOf(a));
            CHECK(f.grantOf(a)->replica == f.replica(1));
            CHECK(f.isQueued(f.send("b")));
        }
        SUBCASE("an adopted turn is released as any other, and once only")
        {
            f.release({{"d2"}, 7, 1});
            f.dispatcher.onRenewal(renewal, f.now);
            CHECK(f.inFlight() == 0);
        }
        SUBCASE("a program that it does not know counts as under way for 3 s")
        {
            // Its turn waits for longer than a first turn may.
            f.advance(milliseconds(400));
            REQUIRE(f.grantOf(f.send("running")));
            const slot_ticket waiting = f.send("waiting");
            const auto advanceRenewed = [&](int steps) {
                for (int i = 0; i < steps; ++i) {
                    f.dispatcher.onRenewal(renewal, f.now);
                    f.advance(milliseconds(250));
                }
            };
            advanceRenewed(5);
            CHECK(f.isQueued(waiting));
            CHECK(f.dispatcher.gauges(f.now).queuedLaterTurns == 1);
            advanceRenewed(6);
            CHECK(f.refusalOf(waiting));
            // No program has begun here, so a first turn is refused at once.
            CHECK(f.refusalOf(f.send("new")));
        }
        SUBCASE("an adopted session stays with its replica")
        {
            f.release({{"d2"}, 7, 1});
            f.advance(milliseconds(400));
            const slot_ticket next = f.send(f.request("old", "s"));
            REQUIRE(f.grantOf(next));
            CHECK(f.grantOf(next)->replica == f.replica(0));
        }
    }

    // Guards against requests that queue in an engine, where their programs don't count.
    TEST_CASE("requests beyond the slots wait here")
    {
        dispatcher_fixture f(3, 2);
        std::vector<slot_ticket> tickets;
        tickets.reserve(9);
        for (int i = 0; i < 9; ++i)
            tickets.push_back(f.send("p" + std::to_string(i)));
        std::map<replica_incarnation, int> perReplica;
        for (const slot_ticket &t : tickets) {
            if (f.grantOf(t))
                ++perReplica[f.grantOf(t)->replica];
        }
        for (int i = 0; i < 3; ++i)
            CHECK(perReplica[f.replica(i)] == 2);
        CHECK(f.dispatcher.gauges(f.now).queuedFirstTurns == 3);
        f.release(tickets[0]);
        CHECK(f.grantOf(tickets[6]));
    }

    // Guards against prompts that are read again elsewhere while their replica is free in a moment.
    TEST_CASE("a session waits for its replica and then moves")
    {
        dispatcher_fixture f(2);
        const replica_incarnation home = f.runFirstTurn("a");
        std::vector<slot_ticket> others{f.send("b"), f.send("c")};
        const auto atHome = [&](const slot_ticket &t) { return f.grantOf(t)->replica == home; };
        const slot_ticket blocking = atHome(others[0]) ? others[0] : others[1];
        f.release(atHome(others[0]) ? others[1] : others[0]);
        const slot_ticket next = f.send("a");
        CHECK(f.isQueued(next));

        SUBCASE("its replica is free in time")
        {
            f.advance(milliseconds(100));
            f.release(blocking);
            REQUIRE(f.grantOf(next));
            CHECK(f.grantOf(next)->replica == home);
            CHECK(f.grantOf(next)->cachedTokens == 3000);
        }
        SUBCASE("its replica is not free within twice the time to read 3,000 tokens")
        {
            f.advance(milliseconds(100));
            CHECK(f.isQueued(next));
            f.advance(milliseconds(40));
            REQUIRE(f.grantOf(next));
            const replica_incarnation moved = f.grantOf(next)->replica;
            CHECK(moved != home);
            CHECK(f.grantOf(next)->cachedTokens == 0);
            f.release(next);
            f.release(blocking);
            const slot_ticket third = f.send("a");
            REQUIRE(f.grantOf(third));
            CHECK(f.grantOf(third)->replica == moved);
        }
        SUBCASE("it does not wait for a replica that has left")
        {
            std::erase_if(f.listed, [&](const engine_replica &e) { return e.incarnation == home; });
            f.dispatcher.setReplicas(f.listed, f.now);
            f.collect();
            CHECK(f.grantOf(next));
        }
    }

    TEST_CASE("a program's further sessions begin at its replica")
    {
        dispatcher_fixture f(8, 4);
        const replica_incarnation home = f.runFirstTurn("a");
        for (const char *const session : {"s1", "s2", "s3"}) {
            const slot_ticket t = f.send(f.request("a", session));
            REQUIRE(f.grantOf(t));
            CHECK(f.grantOf(t)->replica == home);
        }
    }

    // Guards against bursts that take the slots from programs with work done already.
    TEST_CASE("first turns wait while later turns are queued")
    {
        dispatcher_fixture f(1);
        f.runFirstTurn("old");
        const slot_ticket blocking = f.send("blocking");
        const slot_ticket first = f.send("new");
        slot_request later = f.request("old");
        later.rank = 2;
        f.send(later);
        f.release(blocking);
        CHECK(f.grantOf(later.ticket));
        CHECK(f.isQueued(first));
        f.release(later.ticket);
        CHECK(f.grantOf(first));
    }

    // Guards against the other sessions of a program that begins being refused as if it had not.
    TEST_CASE("queued turns of a program that has begun count as later turns")
    {
        dispatcher_fixture f(1);
        const slot_ticket blocking = f.send("blocking");
        f.send(f.request("a", "s1"));
        const slot_ticket second = f.send(f.request("a", "s2"));
        f.release(blocking);
        CHECK(f.dispatcher.gauges(f.now).queuedFirstTurns == 0);
        CHECK(f.dispatcher.gauges(f.now).queuedLaterTurns == 1);
        f.advance(milliseconds(1200));
        CHECK(!f.refusalOf(second));
    }

    // Guards against an order by arrival, or one in which rank costs a program of another its time.
    TEST_CASE("the order within a class is feasibility, rank, share, slack")
    {
        dispatcher_fixture f(1);
        const slot_ticket blocking = f.send("blocking");
        const auto add = [&](const char *program, int rank, duration toFinish) {
            slot_request r = f.request(program);
            r.rank = rank;
            r.timeToFinish = toFinish;
            return f.send(r);
        };
        // Without an arrival of its own after this time, a program of 400 ms becomes late.
        add("late", 0, milliseconds(400));
        f.advance(milliseconds(200));
        add("rank 1", 1, seconds(9));
        add("rank 0, slack", 0, seconds(9));
        add("rank 0, urgent", 0, seconds(5));
        f.grantOrder.clear();
        f.release(blocking);
        while (f.inFlight() > 0) {
            const std::string running = f.grantOrder.back();
            const auto found
                = std::find_if(f.active.begin(), f.active.end(), [&](const auto &item) {
                      return item.second.program.value == running;
                  });
            f.release(found->first);
        }
        CHECK(f.grantOrder
              == std::vector<std::string>{"rank 0, urgent", "rank 0, slack", "rank 1", "late"});
    }

    // Guards against a busy account that takes the time of the others, or of those of better rank.
    TEST_CASE("an account over its share comes after others of its rank")
    {
        dispatcher_fixture f(1);
        const auto add = [&](const std::string &program, const char *account, int rank) {
            slot_request r = f.request(program);
            r.account = {account};
            r.rank = rank;
            return f.send(r);
        };
        for (int i = 0; i < 16; ++i) {
            const std::string program = std::to_string(i);
            for (const char *const account : {"busy", i < 4 ? "a" : "busy", i < 4 ? "b" : "busy"})
                f.release(add(account + program + "/" + std::to_string(f.lastNumber), account, 0));
        }
        f.advance(milliseconds(700));
        const slot_ticket blocking = f.send("blocking");
        const slot_ticket busy = add("busy", "busy", 0);
        const slot_ticket other = add("other", "a", 0);
        const slot_ticket worse = add("worse", "a", 1);
        f.release(blocking);
        CHECK(f.grantOf(other));
        f.release(other);
        CHECK(f.grantOf(busy));
        f.release(busy);
        CHECK(f.grantOf(worse));
    }

    // Guards against callers that wait for an answer which can only be a refusal, and that return
    // together.
    TEST_CASE("hopeless first turns are refused at once with a Retry-After in range and spread")
    {
        dispatcher_fixture f(1);
        f.send("blocking");
        std::set<duration> times;
        int refused = 0;
        for (int i = 0; i < 200; ++i) {
            slot_request r = f.request("p" + std::to_string(i));
            r.timeToFinish = seconds(6);
            f.send(r);
            const slot_refusal *const refusal = f.refusalOf(r.ticket);
            if (!refusal)
                continue;
            ++refused;
            times.insert(refusal->retryAfter);
            CHECK(refusal->retryAfter >= milliseconds(150));
            CHECK(refusal->retryAfter <= milliseconds(1625));
        }
        CHECK(refused > 150);
        CHECK(*times.rbegin() - *times.begin() > milliseconds(400));
        CHECK(times.size() > 100);
    }

    TEST_CASE("a first turn whose program can't end within twice its time is refused at once")
    {
        dispatcher_fixture f(1);
        f.send("blocking");
        slot_request r = f.request("p");
        r.timeToFinish = milliseconds(10);
        f.send(r);
        REQUIRE(f.refusalOf(r.ticket));
        CHECK(f.refusalOf(r.ticket)->reason == slot_refusal_reason::CannotFinish);
    }

    TEST_CASE("a first turn waits at most 1 s, a later one two fifths of its request's time")
    {
        dispatcher_fixture f(20);
        f.runFirstTurn("old");
        for (int i = 0; i < 20; ++i)
            f.send("b" + std::to_string(i));
        const slot_ticket later = f.send("old");
        const slot_ticket first = f.send("new");
        f.advance(milliseconds(900));
        CHECK(f.isQueued(first));
        f.advance(milliseconds(120));
        CHECK(f.refusalOf(first));
        f.advance(milliseconds(550));
        CHECK(f.isQueued(later));
        f.advance(milliseconds(50));
        CHECK(f.refusalOf(later));
    }

    TEST_CASE("a later turn of a lost program is refused while others wait, and only then")
    {
        dispatcher_fixture f(1);
        slot_request lost = f.request("lost");
        lost.timeToFinish = milliseconds(100);
        f.send(lost);
        REQUIRE(f.grantOf(lost.ticket));
        f.advance(milliseconds(300));
        f.release(lost.ticket);
        f.send("blocking");
        slot_request next = f.request("lost");

        SUBCASE("another turn waits")
        {
            f.send("other");
            f.send(next);
            REQUIRE(f.refusalOf(next.ticket));
            CHECK(f.refusalOf(next.ticket)->reason == slot_refusal_reason::CannotFinish);
        }
        SUBCASE("no other turn waits")
        {
            f.send(next);
            CHECK(f.isQueued(next.ticket));
        }
    }

    // Guards against turns of a bad rank that wait for as long as better ones keep arriving.
    TEST_CASE("nothing starves: one grant in eight goes to the longest overtaken turn")
    {
        dispatcher_fixture f(1);
        for (int i = 0; i < 30; ++i)
            f.runFirstTurn("p" + std::to_string(i));
        slot_ticket running = f.send("blocking");
        slot_request overtaken = f.request("p0");
        overtaken.rank = 5;
        f.send(overtaken);
        int grants = 0;
        for (int i = 1; i < 30 && !f.grantOf(overtaken.ticket); ++i, ++grants) {
            const slot_ticket urgent = f.send("p" + std::to_string(i));
            f.release(running);
            running = urgent;
        }
        CHECK(grants >= 8);
        CHECK(grants <= 17);
    }

    // Guards against each daemon finding out on its own that a replica fails.
    TEST_CASE("two failures from different daemons eject a replica for all, one trial readmits it")
    {
        dispatcher_fixture f(4, 2);
        std::vector<slot_ticket> tickets;
        for (int i = 0; i < 8; ++i) {
            slot_request r = f.request("p" + std::to_string(i));
            r.ticket.daemon = {i % 2 == 0 ? "d1" : "d2"};
            tickets.push_back(f.send(r));
        }
        const replica_incarnation bad = f.replica(0);
        std::vector<slot_ticket> atBad;
        for (const slot_ticket &t : tickets) {
            if (f.grantOf(t)->replica == bad)
                atBad.push_back(t);
        }
        REQUIRE(atBad.size() == 2);
        f.release(atBad[0], send_outcome::Failed);
        CHECK(f.dispatcher.gauges(f.now).ejectedReplicas == 0);
        f.release(atBad[1], send_outcome::Broken);
        CHECK(f.dispatcher.gauges(f.now).ejectedReplicas == 1);
        CHECK(f.dispatcher.gauges(f.now).slots == 6);
        const slot_ticket waiting = f.send(f.request("p1"));
        CHECK(f.isQueued(waiting));
        f.advance(milliseconds(1050));
        REQUIRE(f.grantOf(waiting));
        CHECK(f.grantOf(waiting)->replica == bad);
        // One trial at a time, also for a turn that waits no longer for its own replica.
        const slot_ticket second = f.send("p2");
        const slot_ticket third = f.send("p3");
        f.advance(milliseconds(200));
        CHECK(f.isQueued(second));
        f.release(waiting);
        CHECK(f.grantOf(second));
        CHECK(f.grantOf(third));
        CHECK(f.dispatcher.gauges(f.now).slots == 8);
    }
}

} // namespace azurehill
