#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace azurehill::test {

namespace {

constexpr int replicas = 18;
constexpr int slots = 16;
/// A daemon knows its own demand as it is, and that of others as it was so long ago: a word waits
/// up to a round of gossip to be told, takes two or three rounds, and a round to be taken in.
constexpr int sweepMs = 50;
constexpr int roundMs = 200;
constexpr int gossipDelayRounds = 3;

/// \brief Daemons before the same engines that hear each other's words some rounds late, as they
/// run: parts from their own demand of the moment at each sweep, bounds agreed on each round.
class delayed_gossip_daemons
{
public:
    explicit delayed_gossip_daemons(int count)
        : gates(std::size_t(count)), m_open(gates.size(), replicas)
    {
        told.assign(gossipDelayRounds + 1, words());
    }

    /// \brief The daemon doubts all replicas, or has not read them.
    void disableReplicas(int daemon) { m_open[std::size_t(daemon)] = 0; }

    void step(int ms)
    {
        if (ms % roundMs == 0) {
            told.push_back(words());
            told.pop_front();
            for (std::size_t d = 0; d < gates.size(); ++d)
                gates[d].hear(others(d));
        }
        for (std::size_t d = 0; d < gates.size(); ++d) {
            concurrency_limiter &gate = gates[d];
            gate.setEngineCapacity({m_open[d], m_open[d] * slots});
            gate.take();
        }
    }

    int inside() const
    {
        int sum = 0;
        for (const concurrency_limiter &gate : gates)
            sum += gate.inside();
        return sum;
    }

    void want(std::size_t daemon, int count)
    {
        for (int i = 0; i < count; ++i)
            gates[daemon].enter({++m_lastTicket, 1, deadline_feasibility::OnTime, seconds(1)});
    }

    std::vector<concurrency_limiter> gates;
    std::deque<std::vector<concurrency_report>> told;

private:
    std::vector<concurrency_report> words()
    {
        std::vector<concurrency_report> all;
        for (concurrency_limiter &gate : gates)
            all.push_back(gate.tell());
        return all;
    }

    std::vector<concurrency_report> others(std::size_t daemon) const
    {
        std::vector<concurrency_report> words = told.front();
        words.erase(words.begin() + std::ptrdiff_t(daemon));
        return words;
    }

    std::vector<int> m_open;
    std::uint64_t m_lastTicket = 0;
};

/// \returns the gate of one of ten daemons with thirty requests each, six seconds after a hundred
/// requests came to an eleventh one that is cut off; nothing comes to it if it is not.
/// \param isCutOff whether the eleventh doubts all replicas, or has not read them, and so can't use
/// the places that it asks for.
concurrency_limiter otherLimiter(bool isCutOff)
{
    delayed_gossip_daemons all(11);
    if (isCutOff)
        all.disableReplicas(0);
    constexpr int burstMs = 3000;
    for (int ms = 0; ms < burstMs + 6000; ms += sweepMs) {
        if (ms == burstMs)
            all.want(0, isCutOff ? 100 : 0);
        for (std::size_t d = 1; d < all.gates.size(); ++d) {
            all.want(d, std::max(0, 30 - int(all.gates[d].word().wanted)));
            all.gates[d].onPace(ms < 1000 ? 10 : 25, time_point(milliseconds(1'000'000 + ms)));
        }
        all.step(ms);
    }
    return all.gates[1];
}

/// \returns after how many milliseconds of slow events the first daemon's bound has halved.
int msUntilHalved(int count)
{
    delayed_gossip_daemons all(count);
    int ms = 0;
    const auto play = [&](double pace) {
        for (std::size_t d = 0; d < all.gates.size(); ++d)
            all.gates[d].onPace(pace, time_point(milliseconds(1'000'000 + ms)));
        all.step(ms);
        ms += sweepMs;
    };
    while (ms < 2000) {
        for (std::size_t d = 0; d < all.gates.size(); ++d)
            all.want(d, 200 / count);
        play(10);
    }
    const double before = all.gates[0].word().perReplica;
    const int began = ms;
    while (all.gates[0].word().perReplica > before / 2 && ms < 60'000)
        play(100);
    return ms - began;
}

} // namespace

TEST_SUITE("words on places")
{
    TEST_CASE("a burst at all daemons at once does not fill the engines beyond what they bear")
    {
        for (const auto &burst : {std::pair{11, 40}, {11, 100}, {90, 20}}) {
            const int count = burst.first;
            const int each = burst.second;
            CAPTURE(count);
            CAPTURE(each);
            delayed_gossip_daemons all(count);
            for (int ms = 0; ms < 1000; ms += sweepMs)
                all.step(ms);
            for (std::size_t d = 0; d < all.gates.size(); ++d)
                all.want(d, each);
            int most = 0;
            for (int ms = 1000; ms < 1700; ms += sweepMs) {
                all.step(ms);
                most = std::max(most, all.inside());
            }
            // Each daemon may have one beyond its part.
            CHECK(most <= 1.25 * replicas * slots + count);
        }
    }

    TEST_CASE("a daemon that may use no replica holds back no other")
    {
        const concurrency_limiter usual = otherLimiter(false);
        const concurrency_limiter besideCutOff = otherLimiter(true);
        CHECK(besideCutOff.word().perReplica > 0.9 * usual.word().perReplica);
        CHECK(besideCutOff.limit() > 0.9 * usual.limit());
    }

    TEST_CASE("many daemons take as long as one to see that the engines are slow")
    {
        const int alone = msUntilHalved(1);
        const int together = msUntilHalved(11);
        MESSAGE("bound halved after ", alone, " ms alone, ", together, " ms with eleven");
        CHECK(together < 1.5 * alone);
    }

    TEST_CASE("a request on time gets a place while others of a better rank or less slack come")
    {
        // The second one tells no finish of its program, so it comes after all that tell one.
        for (const auto &[rank, slack] :
             {std::pair{2, duration(seconds(1))}, {1, duration::max()}}) {
            concurrency_limiter gate;
            gate.setEngineCapacity({1, 8});
            std::uint64_t number = 1;
            while (gate.enter({++number, 1, deadline_feasibility::OnTime, seconds(1)})) { }
            const std::uint64_t passed = ++number;
            CHECK_FALSE(gate.enter({passed, rank, deadline_feasibility::OnTime, slack}));
            bool isGranted = false;
            for (int i = 0; i < 1000; ++i) {
                gate.enter({++number, 1, deadline_feasibility::OnTime, seconds(1)});
                gate.leave();
                for (const std::uint64_t granted : gate.take())
                    isGranted = isGranted || granted == passed;
            }
            CHECK(isGranted);
        }
    }

    TEST_CASE("late programs' turns that can't wait for eight places are not shut out")
    {
        // The later tries of a turn wait for 128, 63 and 13 ms, in which a daemon with 24 places
        // grants four, two and none. Each try begins to count anew.
        constexpr int placesDuringTry = 6;
        concurrency_limiter gate;
        gate.setEngineCapacity({1, 8});
        std::uint64_t number = 1;
        while (gate.enter({++number, 1, deadline_feasibility::OnTime, seconds(1)})) { }
        int granted = 0;
        for (int i = 0; i < 50; ++i) {
            const std::uint64_t late = ++number;
            gate.enter({late, 1, deadline_feasibility::Late, seconds(-1)});
            for (int k = 0; k < placesDuringTry; ++k) {
                gate.enter({++number, 1, deadline_feasibility::OnTime, seconds(1)});
                gate.leave();
                for (const std::uint64_t one : gate.take())
                    granted += one == late ? 1 : 0;
            }
            gate.withdraw(late);
        }
        CHECK(granted > 0);
    }
}

} // namespace azurehill::test
