#include "bench/capacity_samples.h"
#include "bench/fit.h"
#include "program/programs.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace azurehill;
using namespace azurehill::bench;

namespace {

/// Largest exponent that still counts as "does not grow": names get a digit longer now and then.
constexpr double constantExponent = 0.05;
/// Largest exponent that still counts as linear.
constexpr double linearExponent = 1.05;

const std::vector<int> memberCounts = {16, 64, 256, 1024};

program_id numberedProgram(int i)
{
    return {fmt::format("p{:024x}", i)};
}

struct sent
{
    int renewals = 0;
    int viewChanges = 0;
    std::size_t bytes = 0;
};

void count(sent &s, const renew_lease &renewal)
{
    ++s.renewals;
    s.bytes += encode(renewal.lease).size();
}

void count(sent &s, const membership_action &action)
{
    ++s.viewChanges;
    if (const auto *change = std::get_if<change_view>(&action))
        s.bytes += encode(change->next).size();
}

std::vector<lease_record> leasesOf(const cell_view &view, std::uint64_t counter)
{
    std::vector<lease_record> leases;
    for (const member &m : view.members)
        leases.push_back({m.daemon, m.incarnation, counter, 1, 1, counter});
    return leases;
}

/// \returns what the first member sends in a minute in which no member comes or goes.
sent quietMinute(int members)
{
    constexpr int programsInCell = 4096;
    const cell_view view = makeView(members);
    std::set<program_id> running;
    for (int i = 0; i < programsInCell; ++i) {
        if (ownerOf(view, numberedProgram(i)) == &view.members.front())
            running.insert(numberedProgram(i));
    }
    membership me(view.members.front(), {});
    sent result;
    for (int second = 0; second < 60; ++second) {
        const time_point now(seconds(1000 + second));
        me.onView(view, now);
        me.onLeases(leasesOf(view, static_cast<std::uint64_t>(second) + 1), now, now);
        me.setRunning(running);
        if (const auto renewal = me.pollLease(now))
            count(result, *renewal);
        for (const membership_action &action : me.poll(now))
            count(result, action);
        me.onRenewed(now);
    }
    return result;
}

/// \returns what the daemon writes for the next turn of \p id, as the book decides it.
journal_batch batchOfTurn(const program_registry &book, const program_id &id, std::int64_t turn)
{
    const auto decision = book.decide(makeRequest(id, turn), 1);
    REQUIRE(decision);
    return {{"daemon-0001"},
            "0123456789ab",
            1000000,
            1,
            {std::get<begin_call>(*decision).record, makeFinished(id, turn)}};
}

} // namespace

TEST_CASE("The fit finds a known line and tells its error")
{
    const line_fit exact = fitLine({{1, 5}, {2, 7}, {3, 9}, {4, 11}});
    CHECK(exact.slope == doctest::Approx(2));
    CHECK(exact.intercept == doctest::Approx(3));
    CHECK(exact.slopeError == doctest::Approx(0));

    // By hand: residuals -0.1, 0.3, -0.3, 0.1; sqrt(0.2 / 2 / 5).
    const line_fit rough = fitLine({{1, 5}, {2, 7.4}, {3, 8.8}, {4, 11.2}});
    CHECK(rough.slope == doctest::Approx(2));
    CHECK(rough.slopeError == doctest::Approx(0.1414214));

    CHECK(fitExponent({{1, 3}, {10, 300}, {100, 30000}}).slope == doctest::Approx(2));
    CHECK(std::isnan(fitLine({{1, 5}, {2, 7}}).slopeError));
}

// Story: the system grows from a dozen daemons to two thousand. Callers and operators see nothing
// of it, unless something that each daemon holds or sends grows with all programs, or with all
// peers of all daemons. Then every daemon spends its day on the others and the platform drowns. The
// verdicts below count bytes and messages, never time, so they are the same on every machine.
TEST_CASE("What a daemon holds and sends does not grow with the whole system")
{
    SUBCASE("programs spread evenly: the fullest daemon's share does not grow with the members")
    {
        constexpr int perMember = 64;
        std::vector<sample> fullest;
        for (const int members : {8, 16, 32, 64}) {
            const cell_view view = makeView(members);
            std::map<daemon_id, int> owned;
            for (int i = 0; i < members * perMember; ++i)
                ++owned[ownerOf(view, numberedProgram(i))->daemon];
            const auto most
                = std::max_element(owned.begin(), owned.end(), [](const auto &a, const auto &b) {
                      return a.second < b.second;
                  });
            fullest.push_back({static_cast<double>(members), static_cast<double>(most->second)});
        }
        // The fullest of more members lies further out, but slowly so: far from linear.
        CHECK(fitExponent(fullest).slope < 0.2);
    }
    SUBCASE("a lost member's programs move, and no other program does")
    {
        for (const int members : {8, 16, 32, 64}) {
            const cell_view before = makeView(members);
            cell_view after = before;
            after.members.erase(after.members.begin() + members / 2);
            int movedFromOthers = 0;
            for (int i = 0; i < members * 16; ++i) {
                const member *owner = ownerOf(before, numberedProgram(i));
                const bool lost = owner->daemon == before.members[members / 2].daemon;
                if (!lost && ownerOf(after, numberedProgram(i))->daemon != owner->daemon)
                    ++movedFromOthers;
            }
            CHECK(movedFromOthers == 0);
        }
    }
    SUBCASE("a turn's batch does not grow with the turns before it")
    {
        program_registry book;
        const program_id id = numberedProgram(1);
        book.apply(makeCreated(id));
        std::vector<sample> bytes;
        for (std::int64_t turn = 1; turn <= 120; ++turn) {
            const journal_batch batch = batchOfTurn(book, id, turn);
            for (const journal_record &r : batch.records)
                book.apply(r);
            bytes.push_back({static_cast<double>(turn), static_cast<double>(encode(batch).size())});
        }
        CHECK(book.find(id)->history.size() > 100 * historyBytesPerTurn);
        CHECK(std::abs(fitExponent(bytes).slope) < constantExponent);
    }
    SUBCASE("a program's state grows with its own turns only, and not faster than they do")
    {
        std::vector<sample> bytes;
        for (const int turns : {4, 15, 60, 120}) {
            program_registry book;
            const program_id id = numberedProgram(1);
            book.apply(makeCreated(id));
            for (int turn = 1; turn <= turns; ++turn) {
                book.apply(makeBegun(id, turn));
                book.apply(makeFinished(id, turn));
            }
            std::size_t held = book.find(id)->history.size();
            for (const auto &[turn, call] : book.find(id)->closedCalls)
                held += call.reply.size() + call.key.size();
            bytes.push_back({static_cast<double>(turns), static_cast<double>(held)});
        }
        CHECK(fitExponent(bytes).slope < linearExponent);
    }
    SUBCASE("a program that moved away leaves nothing behind")
    {
        program_registry book;
        for (int i = 0; i < 1000; ++i)
            book.apply(makeCreated(numberedProgram(i)));
        for (int i = 0; i < 1000; ++i)
            book.erase(numberedProgram(i));
        CHECK(book.programs().empty());
    }
    SUBCASE("a quiet daemon sends as much in a large cell as in a small one")
    {
        std::vector<sample> messages;
        std::vector<sample> bytes;
        for (const int members : memberCounts) {
            const sent s = quietMinute(members);
            CHECK(s.viewChanges == 0);
            messages.push_back({static_cast<double>(members), static_cast<double>(s.renewals)});
            bytes.push_back({static_cast<double>(members), static_cast<double>(s.bytes)});
        }
        CHECK(std::abs(fitExponent(messages).slope) < constantExponent);
        CHECK(std::abs(fitExponent(bytes).slope) < constantExponent);
    }
    SUBCASE("a daemon sends as many heartbeats in a large cell as in a small one")
    {
        std::vector<sample> beats;
        for (const int members : memberCounts) {
            const cell_view view = makeView(members);
            failure_detector detector(view.members.front().daemon, {});
            std::size_t sentBeats = 0;
            for (int second = 0; second < 60; ++second) {
                const time_point now(seconds(1000 + second));
                detector.onView(view, now);
                for (const member &m : view.members)
                    detector.onSign({m.daemon, m.incarnation}, now);
                sentBeats += detector.poll(now).size();
            }
            beats.push_back({static_cast<double>(members), static_cast<double>(sentBeats)});
        }
        CHECK(std::abs(fitExponent(beats).slope) < constantExponent);
    }
    SUBCASE("the view grows with its members, and not with their pairs")
    {
        std::vector<sample> bytes;
        bytes.reserve(std::size(memberCounts));
        for (const int members : memberCounts) {
            bytes.push_back({static_cast<double>(members),
                             static_cast<double>(encode(makeView(members)).size())});
        }
        CHECK(fitExponent(bytes).slope < linearExponent);
    }
    SUBCASE("writes of the journal are bounded however many programs have turns")
    {
        std::vector<sample> writes;
        // Each program has one turn in the second, spread evenly.
        for (const int programs : {64, 128, 256, 512}) {
            commit_batcher batcher({"daemon-0001"}, "0123456789ab", {});
            batcher.onView({1, 1, [](const program_id &) { return true; }});
            int written = 0;
            for (int ms = 0, turns = 0; ms < 1000; ++ms) {
                const time_point now(milliseconds(1000 + ms));
                for (; turns * 1000 < ms * programs; ++turns)
                    batcher.append({makeBegun(numberedProgram(turns), 1)},
                                   commit_policy::MustCommit, now);
                for (const commit_action &a : batcher.poll(now))
                    written += std::holds_alternative<write_batch>(a);
                batcher.onAnswer(batch_outcome::Written, now);
            }
            writes.push_back({static_cast<double>(programs), static_cast<double>(written)});
        }
        CHECK(std::abs(fitExponent(writes).slope) < constantExponent);
    }
}
