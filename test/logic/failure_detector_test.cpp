#include "logic/cell_model.h"

#include <doctest/doctest.h>

using namespace azurehill;

namespace {

const failure_detector_settings rules;

/// \brief Detectors of one cell; some daemons are dead, some paused, some pairs cut from each
/// other.
struct ring
{
    explicit ring(int size)
    {
        for (int i = 0; i < size; ++i)
            view.members.push_back(makeMember(i, 1));
        for (const member &m : view.members) {
            detectors.emplace_back(m.daemon, rules);
            detectors.back().onView(view, now);
        }
    }

    daemon_run run(int i) const
    {
        const member &m = view.members[static_cast<std::size_t>(i)];
        return {m.daemon, m.incarnation};
    }

    void beat(int from, int to)
    {
        failure_detector &sender = detectors[static_cast<std::size_t>(from)];
        failure_detector &receiver = detectors[static_cast<std::size_t>(to)];
        if (dead.count(to) > 0U || refusedLinks.count({from, to}) > 0U) {
            sender.onRefused(run(to), now);
            return;
        }
        if (paused.count(to) > 0U || cut.count({from, to}) > 0U)
            return;
        receiver.onSign(run(from), now);
        receiver.onEvidence(sender.evidence(now), now);
        sender.onSign(run(to), now);
        sender.onEvidence(receiver.evidence(now), now);
    }

    void tick(duration step)
    {
        now += step;
        for (int i = 0; i < static_cast<int>(detectors.size()); ++i) {
            if (dead.count(i) > 0U || paused.count(i) > 0U)
                continue;
            for (const member &to : detectors[static_cast<std::size_t>(i)].poll(now))
                beat(i, to.daemon.value[0] - 'a');
        }
    }

    cell_view view{1, 1, {}};
    std::vector<failure_detector> detectors;
    std::set<int> dead;
    std::set<int> paused;
    std::set<std::pair<int, int>> cut;
    std::set<std::pair<int, int>> refusedLinks;
    time_point now = start;
};

constexpr duration tickStep = milliseconds(50);

void run(ring &r, duration time)
{
    for (duration passed{}; passed < time; passed += tickStep)
        r.tick(tickStep);
}

} // namespace

TEST_CASE("A killed daemon is known to refuse connections after two heartbeats")
{
    CHECK(rc::check("any size, any victim", [] {
        const int size = *rc::gen::inRange(3, 20);
        ring r(size);
        run(r, seconds(2));
        const int victim = *rc::gen::inRange(0, size);
        r.dead.insert(victim);
        run(r, 2 * rules.heartbeatInterval + tickStep);
        int knowing = 0;
        for (int i = 0; i < size; ++i) {
            const auto refusing = r.detectors[static_cast<std::size_t>(i)].refusing(r.now);
            knowing += i != victim && refusing.count(r.run(victim)) > 0U ? 1 : 0;
            RC_ASSERT(refusing.size() <= 1U);
        }
        RC_ASSERT(knowing >= std::min(size - 1, 2));
    }));
}

TEST_CASE("Nobody who answers two of three is called dead")
{
    CHECK(rc::check("cuts, pauses, and one daemon that is refused everywhere", [] {
        const int size = *rc::gen::inRange(3, 12);
        ring r(size);
        const int liar = *rc::gen::inRange(0, size);
        for (int step = 0; step < 120; ++step) {
            const int a = *rc::gen::inRange(0, size);
            const int b = *rc::gen::inRange(0, size);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                r.cut.insert({a, b});
                break;
            case 1:
                r.cut.clear();
                break;
            case 2:
                r.paused.insert(a);
                break;
            case 3:
                r.paused.erase(a);
                break;
            case 4:
                r.refusedLinks.insert({liar, b});
                break;
            default:
                r.tick(milliseconds(*rc::gen::inRange(10, 600)));
            }
            for (const failure_detector &d : r.detectors)
                RC_ASSERT(d.refusing(r.now).empty());
        }
    }));
}

TEST_CASE("A silent daemon is suspected, and no longer when it speaks")
{
    ring r(5);
    run(r, seconds(2));
    r.paused.insert(2);
    run(r, rules.silenceTimeout + 2 * rules.heartbeatInterval);
    CHECK(r.detectors[0].suspects(r.now) == std::set<daemon_id>{r.run(2).daemon});
    r.paused.clear();
    run(r, rules.evidenceTtl + 2 * rules.heartbeatInterval);
    for (const failure_detector &d : r.detectors)
        CHECK(d.suspects(r.now).empty());
}

TEST_CASE("A daemon sends to a bounded number of others")
{
    for (const int size : {1, 2, 4, 20}) {
        const ring r(size);
        CHECK(ringSuccessorsOf(r.view, r.run(0).daemon, rules.fanOut).size()
              == std::min<std::size_t>(rules.fanOut, static_cast<std::size_t>(size) - 1));
    }
}

// A daemon is left out of look-ups, or removed, although it works: what a detector holds against it
// is out of date. A lost network path came back, or heartbeats to it have only just begun.
TEST_CASE("What is out of date is not held against a daemon")
{
    cell_view view{1, 1, {}};
    for (int i = 0; i < 6; ++i)
        view.members.push_back(makeMember(i, 1));
    const member &self = view.members.front();
    failure_detector detector(self.daemon, rules);
    detector.onView(view, start);
    const member other = ringSuccessorsOf(view, self.daemon, 1).front();
    const daemon_run run{other.daemon, other.incarnation};

    SUBCASE("refusals that others saw count for their life only")
    {
        const time_point seen = start + milliseconds(100);
        detector.onEvidence({{run, {"x"}, failure_kind::Refused, duration(0)},
                             {run, {"y"}, failure_kind::Refused, duration(0)}},
                            seen);
        CHECK(detector.refusing(seen).count(run) == 1);
        CHECK(detector.suspects(seen).count(run.daemon) == 1);
        CHECK(detector.refusing(seen + rules.evidenceTtl).empty());
        CHECK(detector.suspects(seen + rules.evidenceTtl).empty());
    }
    SUBCASE("an own sign of life takes back what was told to others")
    {
        const time_point seen = start + milliseconds(100);
        detector.onRefused(run, seen);
        CHECK(detector.evidence(seen).size() == 1);
        detector.onSign(run, seen + milliseconds(1));
        CHECK(detector.evidence(seen + milliseconds(1)).empty());
    }
    SUBCASE("silence counts from the first heartbeat, not from the view on")
    {
        const std::vector<member> order = ringSuccessorsOf(view, self.daemon, view.members.size());
        const member &last = order.back();
        const time_point later = start + rules.silenceTimeout + seconds(10);
        const cell_view smaller{2, 2, {self, last}};
        detector.onView(smaller, later);
        detector.poll(later);
        CHECK(detector.suspects(later).empty());
        detector.poll(later + rules.silenceTimeout);
        CHECK(detector.suspects(later + rules.silenceTimeout).count(last.daemon) == 1);
    }
}
