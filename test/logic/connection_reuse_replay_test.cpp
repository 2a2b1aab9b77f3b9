// Simulates many daemons before plain replicas of few slots, which refuse requests when full, and
// counts the connections that the daemons open.
#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace azurehill {

namespace {

/// \brief Daemons that send the requests of plain routes to the replicas of one service. Half of
/// the requests are non-idempotent. Time advances to the next end of a request or the next new
/// request.
class plain_service_replay
{
public:
    static constexpr int daemons = 62;
    static constexpr int replicas = 40;
    static constexpr int slots = 6;

    /// \param speeds speeds of the replicas, in turn.
    plain_service_replay(const mechanism_set &mechanisms, std::uint64_t seed,
                         std::vector<double> speeds = {1})
        : m_random(static_cast<std::uint_fast32_t>(seed)), m_speeds(std::move(speeds))
    {
        std::vector<replica_entry> listed;
        listed.reserve(replicas);
        for (int i = 0; i < replicas; ++i)
            listed.push_back({{{"p" + std::to_string(i)}, 1},
                              "plain",
                              {"10.0.0.1", std::uint16_t(i)},
                              dataCentre(i),
                              slots,
                              false,
                              1});
        for (int i = 0; i < daemons; ++i) {
            m_daemons.emplace_back(dataCentre(i), 1000 * seed + std::uint64_t(i), mechanisms);
            m_daemons.back().balancer.setReplicas(listed, m_now);
            m_daemons.back().balancer.setDaemons(daemons);
        }
    }

    /// \brief From now on the first \p count replicas end each request with \p outcome within a
    /// millisecond.
    void setFaulty(int count, send_outcome outcome)
    {
        m_faultyReplicas = count;
        m_faultOutcome = outcome;
    }
    /// \brief Simulates \p time with \p perSecond requests of all daemons together, and counts
    /// anew.
    void play(duration time, double perSecond)
    {
        requests = newConnections = beyondSlots = refused = failed = 0;
        sentTo.clear();
        std::exponential_distribution<double> gap(perSecond);
        const time_point end = m_now + time;
        while (true) {
            const time_point next = m_now
                + std::chrono::duration_cast<duration>(
                                        std::chrono::duration<double>(gap(m_random)));
            if (next >= end)
                break;
            endRequestsUntil(next);
            begin();
        }
        endRequestsUntil(end);
    }

    int requests = 0;
    int newConnections = 0;
    /// Requests that arrived at a replica whose slots were in use.
    int beyondSlots = 0;
    /// Requests that every replica asked refused.
    int refused = 0;
    /// Requests that a faulty replica failed.
    int failed = 0;
    /// Requests by replica.
    std::map<int, int> sentTo;

    double newConnectionsPerRequest() const { return double(newConnections) / requests; }
    double beyondSlotsPerRequest() const { return double(beyondSlots) / requests; }
    /// \returns the coefficient of variation of the requests per replica.
    double variation() const
    {
        const double mean = double(requests + beyondSlots) / replicas;
        double squares = 0;
        for (int i = 0; i < replicas; ++i) {
            const auto found = sentTo.find(i);
            const double difference = (found == sentTo.end() ? 0 : found->second) - mean;
            squares += difference * difference;
        }
        return std::sqrt(squares / replicas) / mean;
    }

private:
    static constexpr duration maxIdle = seconds(20);
    static constexpr duration maxIdleNonIdempotent = seconds(6);
    static constexpr int maxAttempts = 5;

    struct daemon_state
    {
        daemon_state(const data_centre_id &here, std::uint64_t seed,
                     const mechanism_set &mechanisms)
            : dataCentre(here), balancer(here, seed, mechanisms)
        { }
        data_centre_id dataCentre;
        replica_load_balancer balancer;
        /// Times at which the idle connections were last used, by the replica's port.
        std::map<std::uint16_t, std::vector<time_point>> idle;
    };
    struct request_state
    {
        std::size_t daemon = 0;
        placement_request request;
        placement chosen;
        bool isNonIdempotent = false;
        /// Time that the request takes at a replica of speed 1.
        duration work{};
        time_point sentAt;
        time_point endsAt;
        send_outcome outcome = send_outcome::Answered;

        bool operator>(const request_state &other) const { return endsAt > other.endsAt; }
    };

    static data_centre_id dataCentre(int i) { return {"dc" + std::to_string(i % 4)}; }

    bool hasIdle(const daemon_state &daemon, std::uint16_t port, bool isNonIdempotent) const
    {
        const auto found = daemon.idle.find(port);
        return found != daemon.idle.end() && !found->second.empty()
            && m_now - found->second.back() <= (isNonIdempotent ? maxIdleNonIdempotent : maxIdle);
    }
    void begin()
    {
        ++requests;
        request_state r;
        r.daemon = m_random() % daemons;
        r.request.service = "plain";
        r.isNonIdempotent = m_random() % 2 == 0;
        r.work = std::chrono::milliseconds(39 + m_random() % 118);
        send(std::move(r));
    }
    void send(request_state r)
    {
        daemon_state &daemon = m_daemons[r.daemon];
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            const auto chosen
                = daemon.balancer.choose(r.request, m_now, [&](const endpoint &address) {
                      return hasIdle(daemon, address.port, r.isNonIdempotent);
                  });
            if (!chosen)
                return;
            r.chosen = *chosen;
            r.request.tried.insert(chosen->replica.incarnation);
            if (sendTo(daemon, r))
                return;
        }
        ++refused;
    }
    /// \returns whether the replica runs the request.
    bool sendTo(daemon_state &daemon, request_state &r)
    {
        const std::uint16_t port = r.chosen.replica.address.port;
        ++sentTo[port];
        const bool isNew = !hasIdle(daemon, port, r.isNonIdempotent);
        if (isNew)
            ++newConnections;
        else
            daemon.idle[port].pop_back();
        r.sentAt = m_now;
        daemon.balancer.onSent(r.chosen, r.request, m_now);
        if (m_running[port] >= slots) {
            ++beyondSlots;
            daemon.balancer.onShed(r.chosen, r.request, m_now);
            daemon.balancer.onDone(r.chosen, send_outcome::NotRun, m_now);
            daemon.idle[port].push_back(m_now);
            return false;
        }
        ++m_running[port];
        const duration connecting = isNew ? duration(milliseconds(2)) : duration::zero();
        const double speed = m_speeds[port % m_speeds.size()];
        r.endsAt = m_now + connecting + std::chrono::duration_cast<duration>(r.work / speed);
        if (port < m_faultyReplicas) {
            ++failed;
            r.outcome = m_faultOutcome;
            r.endsAt = m_now + connecting + milliseconds(1);
        }
        m_inFlight.push(r);
        return true;
    }
    void endRequestsUntil(time_point until)
    {
        while (!m_inFlight.empty() && m_inFlight.top().endsAt <= until) {
            const request_state r = m_inFlight.top();
            m_inFlight.pop();
            m_now = r.endsAt;
            daemon_state &daemon = m_daemons[r.daemon];
            const std::uint16_t port = r.chosen.replica.address.port;
            --m_running[port];
            if (r.outcome == send_outcome::Answered)
                daemon.balancer.onFirstByte(r.chosen, r.request, m_now - r.sentAt, m_now);
            daemon.balancer.onDone(r.chosen, r.outcome, m_now);
            if (r.outcome == send_outcome::Broken)
                continue;
            auto &idle = daemon.idle[port];
            std::erase_if(idle, [this](time_point since) { return m_now - since > maxIdle; });
            idle.push_back(m_now);
        }
        m_now = until;
    }

    std::minstd_rand m_random;
    std::vector<double> m_speeds;
    int m_faultyReplicas = 0;
    send_outcome m_faultOutcome = send_outcome::Broken;
    time_point m_now{seconds(1000)};
    std::deque<daemon_state> m_daemons;
    std::map<std::uint16_t, int> m_running;
    std::priority_queue<request_state, std::vector<request_state>, std::greater<>> m_inFlight;
};

mechanism_set without(std::initializer_list<mechanism> disabled)
{
    mechanism_set result;
    for (const mechanism m : disabled)
        result.disable(m);
    return result;
}

} // namespace

TEST_SUITE("replay of connections")
{
    // Guards against a new connection for every seventh request: each request went to a random one
    // of many equal replicas, to which the daemon rarely had a connection.
    TEST_CASE("many daemons reuse connections and still spread their requests")
    {
        for (const std::uint64_t seed : {1, 2}) {
            for (const auto &speeds : {std::vector<double>{1}, std::vector<double>{0.6, 1, 1.6}}) {
                INFO("seed ", seed, ", speeds ", speeds.size());
                plain_service_replay before(without({mechanism::ReusedConnections}), seed, speeds);
                plain_service_replay now({}, seed, speeds);
                // At first daemons need new connections and have yet to learn the speeds.
                const std::map<duration, double> shareOfConnections{{seconds(10), 1},
                                                                    {seconds(30), 1.0 / 3}};
                for (const auto &[time, share] : shareOfConnections) {
                    before.play(time, 600);
                    now.play(time, 600);
                    CHECK(now.newConnectionsPerRequest()
                          < share * before.newConnectionsPerRequest());
                    CHECK(now.beyondSlotsPerRequest() < before.beyondSlotsPerRequest() + 0.01);
                    CHECK(now.variation() < before.variation() + 0.15);
                }
            }
        }
    }

    // Guards against daemons that keep to the replicas that they have connections to while those
    // refuse requests.
    TEST_CASE("at twice the load, no more requests exceed the slots than without reuse")
    {
        plain_service_replay before(without({mechanism::ReusedConnections}), 1);
        plain_service_replay now({}, 1);
        before.play(seconds(20), 1200);
        now.play(seconds(20), 1200);
        CHECK(now.beyondSlotsPerRequest() < before.beyondSlotsPerRequest() + 0.01);
        CHECK(now.newConnectionsPerRequest() < before.newConnectionsPerRequest() / 2);
    }

    // Guards against refusals by the fast replicas while slots of slower ones are free: all daemons
    // preferred the fast replicas, and chose them again right after a refusal.
    TEST_CASE("replicas that refuse requests are relieved by the others")
    {
        plain_service_replay before(without({mechanism::ShedBackoff}), 1, {0.6, 1, 1.6});
        plain_service_replay now({}, 1, {0.6, 1, 1.6});
        before.play(seconds(20), 1200);
        now.play(seconds(20), 1200);
        CHECK(now.beyondSlotsPerRequest() < before.beyondSlotsPerRequest() / 2);
        CHECK(now.refused < before.refused / 4);
    }

    // Guards against replicas that fail each request within a millisecond, seem fast and idle, and
    // so attract the requests of daemons that have yet to notice.
    TEST_CASE("replicas that fail at once get less than an even share of the requests")
    {
        for (const send_outcome fault : {send_outcome::Broken, send_outcome::Failed}) {
            for (const mechanism_set &mechanisms :
                 {mechanism_set(),
                  without({mechanism::ReusedConnections, mechanism::ShedBackoff})}) {
                INFO(toName(fault), " without ", mechanisms.disabledNames());
                plain_service_replay world(mechanisms, 1);
                world.play(seconds(5), 600);
                world.setFaulty(5, fault);
                world.play(seconds(10), 600);
                CHECK(world.failed > 0);
                CHECK(world.failed < world.requests * 5 / plain_service_replay::replicas);
            }
        }
    }
}

} // namespace azurehill
