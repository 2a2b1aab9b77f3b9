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
/// A daemon knows its own current demand, but that of the others only with a delay: a report waits
/// up to one gossip round to be sent, travels for two or three, and waits up to one to be merged.
constexpr int updateIntervalMs = 50;
constexpr int gossipIntervalMs = 200;
constexpr int gossipDelayRounds = 3;

/// \brief Daemons that use the same engines and receive each other's reports some gossip rounds
/// late. As in production, queued requests are admitted at each update and limits merged in each
/// round.
class delayed_gossip_daemons
{
public:
    explicit delayed_gossip_daemons(int count)
        : limiters(std::size_t(count)), m_availableReplicas(limiters.size(), replicas)
    {
        gossipedReports.assign(gossipDelayRounds + 1, publishReports());
    }

    /// \brief The daemon has ejected all replicas, or has not read their entries.
    void disableReplicas(int daemon) { m_availableReplicas[std::size_t(daemon)] = 0; }

    void step(int ms)
    {
        if (ms % gossipIntervalMs == 0) {
            gossipedReports.push_back(publishReports());
            gossipedReports.pop_front();
            for (std::size_t d = 0; d < limiters.size(); ++d)
                limiters[d].mergeReports(others(d));
        }
        for (std::size_t d = 0; d < limiters.size(); ++d) {
            concurrency_limiter &limiter = limiters[d];
            limiter.setEngineCapacity({m_availableReplicas[d], m_availableReplicas[d] * slots});
            limiter.admitQueued();
        }
    }

    int inFlight() const
    {
        int sum = 0;
        for (const concurrency_limiter &limiter : limiters)
            sum += limiter.inFlight();
        return sum;
    }

    void addRequests(std::size_t daemon, int count)
    {
        for (int i = 0; i < count; ++i)
            limiters[daemon].tryAdmit(
                {++m_lastRequest, 1, deadline_feasibility::OnTime, seconds(1)});
    }

    std::vector<concurrency_limiter> limiters;
    std::deque<std::vector<concurrency_report>> gossipedReports;

private:
    std::vector<concurrency_report> publishReports()
    {
        std::vector<concurrency_report> all;
        for (concurrency_limiter &limiter : limiters)
            all.push_back(limiter.publishReport());
        return all;
    }

    std::vector<concurrency_report> others(std::size_t daemon) const
    {
        std::vector<concurrency_report> reports = gossipedReports.front();
        reports.erase(reports.begin() + std::ptrdiff_t(daemon));
        return reports;
    }

    std::vector<int> m_availableReplicas;
    std::uint64_t m_lastRequest = 0;
};

/// \returns the limiter of one of ten daemons with thirty requests each, six seconds after an
/// eleventh daemon that has no usable replica received a hundred requests, or none if it is not cut
/// off.
/// \param isCutOff whether the eleventh daemon has ejected all replicas, or has not read their
/// entries, and so can't use its share of the limit.
concurrency_limiter otherLimiter(bool isCutOff)
{
    delayed_gossip_daemons all(11);
    if (isCutOff)
        all.disableReplicas(0);
    constexpr int burstMs = 3000;
    for (int ms = 0; ms < burstMs + 6000; ms += updateIntervalMs) {
        if (ms == burstMs)
            all.addRequests(0, isCutOff ? 100 : 0);
        for (std::size_t d = 1; d < all.limiters.size(); ++d) {
            all.addRequests(d, std::max(0, 30 - int(all.limiters[d].report().demand)));
            all.limiters[d].onEventInterval(ms < 1000 ? 10 : 25,
                                            time_point(milliseconds(1'000'000 + ms)));
        }
        all.step(ms);
    }
    return all.limiters[1];
}

/// \returns the milliseconds of slow events after which the first daemon's limit has halved.
int msUntilHalved(int count)
{
    delayed_gossip_daemons all(count);
    int ms = 0;
    const auto advance = [&](double msPerEvent) {
        for (std::size_t d = 0; d < all.limiters.size(); ++d)
            all.limiters[d].onEventInterval(msPerEvent, time_point(milliseconds(1'000'000 + ms)));
        all.step(ms);
        ms += updateIntervalMs;
    };
    while (ms < 2000) {
        for (std::size_t d = 0; d < all.limiters.size(); ++d)
            all.addRequests(d, 200 / count);
        advance(10);
    }
    const double before = all.limiters[0].report().limitPerReplica;
    const int began = ms;
    while (all.limiters[0].report().limitPerReplica > before / 2 && ms < 60'000)
        advance(100);
    return ms - began;
}

} // namespace

TEST_SUITE("words on places")
{
    TEST_CASE("a burst at all daemons at once does not fill the engines beyond what they bear")
    {
        for (const auto &burstSize : {std::pair{11, 40}, {11, 100}, {90, 20}}) {
            const int count = burstSize.first;
            const int requestsPerDaemon = burstSize.second;
            CAPTURE(count);
            CAPTURE(requestsPerDaemon);
            delayed_gossip_daemons all(count);
            for (int ms = 0; ms < 1000; ms += updateIntervalMs)
                all.step(ms);
            for (std::size_t d = 0; d < all.limiters.size(); ++d)
                all.addRequests(d, requestsPerDaemon);
            int maxInFlight = 0;
            for (int ms = 1000; ms < 1700; ms += updateIntervalMs) {
                all.step(ms);
                maxInFlight = std::max(maxInFlight, all.inFlight());
            }
            // Each daemon may exceed its share by one.
            CHECK(maxInFlight <= 1.25 * replicas * slots + count);
        }
    }

    TEST_CASE("a daemon that may use no replica holds back no other")
    {
        const concurrency_limiter baseline = otherLimiter(false);
        const concurrency_limiter besideCutOff = otherLimiter(true);
        CHECK(besideCutOff.report().limitPerReplica > 0.9 * baseline.report().limitPerReplica);
        CHECK(besideCutOff.limit() > 0.9 * baseline.limit());
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
        // The second request has no target finish time, so it sorts after all that have one.
        for (const auto &[rank, slack] :
             {std::pair{2, duration(seconds(1))}, {1, duration::max()}}) {
            concurrency_limiter limiter;
            limiter.setEngineCapacity({1, 8});
            std::uint64_t number = 1;
            while (limiter.tryAdmit({++number, 1, deadline_feasibility::OnTime, seconds(1)})) { }
            const std::uint64_t passed = ++number;
            CHECK_FALSE(limiter.tryAdmit({passed, rank, deadline_feasibility::OnTime, slack}));
            bool isGranted = false;
            for (int i = 0; i < 1000; ++i) {
                limiter.tryAdmit({++number, 1, deadline_feasibility::OnTime, seconds(1)});
                limiter.release();
                for (const std::uint64_t granted : limiter.admitQueued())
                    isGranted = isGranted || granted == passed;
            }
            CHECK(isGranted);
        }
    }

    TEST_CASE("late programs' turns that can't wait for eight places are not shut out")
    {
        // Later tries of a turn wait for 128, 63 and 13 ms, in which a daemon with a limit of 24
        // admits four, two and no requests. Each try is a new request, so a count of the admissions
        // during one try never reaches eight.
        constexpr int placesDuringTry = 6;
        concurrency_limiter limiter;
        limiter.setEngineCapacity({1, 8});
        std::uint64_t number = 1;
        while (limiter.tryAdmit({++number, 1, deadline_feasibility::OnTime, seconds(1)})) { }
        int granted = 0;
        for (int i = 0; i < 50; ++i) {
            const std::uint64_t late = ++number;
            limiter.tryAdmit({late, 1, deadline_feasibility::Late, seconds(-1)});
            for (int k = 0; k < placesDuringTry; ++k) {
                limiter.tryAdmit({++number, 1, deadline_feasibility::OnTime, seconds(1)});
                limiter.release();
                for (const std::uint64_t admittedNumber : limiter.admitQueued())
                    granted += admittedNumber == late ? 1 : 0;
            }
            limiter.cancelWait(late);
        }
        CHECK(granted > 0);
    }
}

} // namespace azurehill::test
