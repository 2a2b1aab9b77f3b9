#include "rows/write_queue.h"

#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <utility>

namespace azurehill {

namespace {

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

store_transaction writeOf(const std::string &key, write_urgency urgency)
{
    store_transaction t;
    t.urgency = urgency;
    t.conditions.push_back({{"turns", key, "account"}, 1});
    t.writes.push_back({{"turns", key, "account"}, "value"});
    return t;
}

/// \brief Simulated store that accepts a limited number of calls per second and refuses the rest.
class limited_store
{
public:
    explicit limited_store(double callsPerSecond) : m_callsPerSecond(callsPerSecond) { }

    void advanceMillisecond()
    {
        m_credit = std::min(maxCredit, m_credit + m_callsPerSecond / 1000);
    }
    bool accept()
    {
        ++calls;
        if (m_credit < 1)
            return false;
        m_credit -= 1;
        return true;
    }
    int calls = 0;

private:
    static constexpr double maxCredit = 40;
    double m_callsPerSecond;
    double m_credit = maxCredit;
};

/// \brief Simulation of daemons on an overloaded store. Each turn needs one write when it begins
/// and one when it ends. Time advances in steps of one millisecond.
class overload_replay
{
public:
    static constexpr int daemons = 13;
    static constexpr int callsPerSecond = 800;

    /// \param isPaced whether the daemons' writes pass through write queues, or are sent at once
    /// and retried with exponential backoff after a refusal.
    explicit overload_replay(bool isPaced) : m_isPaced(isPaced), m_store(callsPerSecond)
    {
        for (write_queue &queue : m_queues)
            queue.setRates(callsPerSecond, daemons);
    }

    /// \brief Simulates \p seconds with \p turnsPerSecond new turns per second.
    void play(int seconds, int turnsPerSecond)
    {
        for (int ms = 0; ms < 1000 * seconds; ++ms) {
            ++m_now;
            m_store.advanceMillisecond();
            m_due += turnsPerSecond / 1000.0;
            for (; m_due >= 1; m_due -= 1) {
                ++requested.back();
                begin(m_turns.emplace_back());
            }
            step();
            if (m_now % 1000 == 0)
                nextSecond();
        }
    }

    /// Per second: turns requested, turns whose final write succeeded, and calls to the store.
    std::vector<int> requested{0};
    std::vector<int> done{0};
    std::vector<int> calls;

private:
    static constexpr int streamMs = 250;
    static constexpr int timeoutMs = 1500;
    static constexpr int answerMs = 8;
    static constexpr int firstPauseMs = 40;

    struct turn_state
    {
        std::size_t number = 0;
        bool isEnding = false;
        int expiresAt = 0;
        int pauseMs = firstPauseMs;
    };
    struct write_event
    {
        std::size_t turn = 0;
        bool isAnswer = false;
    };

    void begin(turn_state &turn)
    {
        turn.number = m_turns.size() - 1;
        requestWrite(turn, false);
    }
    void requestWrite(turn_state &turn, bool isEnding)
    {
        turn.isEnding = isEnding;
        turn.expiresAt = m_now + timeoutMs;
        if (m_isPaced)
            enqueue(turn);
        else
            sendUnpaced(turn);
    }
    void enqueue(const turn_state &turn)
    {
        const auto urgency = turn.isEnding ? write_urgency::End : write_urgency::Begin;
        m_queues.at(turn.number % daemons)
            .add(turn.number, writeOf(std::to_string(turn.number), urgency), at(turn.expiresAt));
    }
    void sendUnpaced(turn_state &turn)
    {
        if (m_now >= turn.expiresAt)
            return;
        if (m_store.accept()) {
            m_events[m_now + answerMs].push_back({turn.number, true});
            return;
        }
        m_events[m_now + turn.pauseMs].push_back({turn.number, false});
        turn.pauseMs *= 2;
    }
    void sendBatch(write_queue &queue, const write_batch &batch)
    {
        const bool isDone = m_store.accept();
        if (isDone)
            queue.onDone(at(m_now));
        else
            queue.onLimited(at(m_now));
        for (const std::uint64_t number : batch.members) {
            turn_state &turn = m_turns.at(number);
            if (isDone)
                m_events[m_now + answerMs].push_back({turn.number, true});
            else if (m_now < turn.expiresAt)
                enqueue(turn);
        }
    }
    void step()
    {
        for (const write_event &h : std::exchange(m_events[m_now], {})) {
            turn_state &turn = m_turns.at(h.turn);
            if (!h.isAnswer)
                sendUnpaced(turn);
            else if (turn.isEnding)
                ++done.back();
            else
                m_ends[m_now + streamMs].push_back(h.turn);
        }
        for (const std::size_t number : std::exchange(m_ends[m_now], {}))
            requestWrite(m_turns.at(number), true);
        for (write_queue &queue : m_queues) {
            while (const auto batch = queue.take(at(m_now)))
                sendBatch(queue, *batch);
        }
    }
    void nextSecond()
    {
        calls.push_back(std::exchange(m_store.calls, 0));
        requested.push_back(0);
        done.push_back(0);
    }

    bool m_isPaced;
    limited_store m_store;
    std::array<write_queue, daemons> m_queues;
    std::deque<turn_state> m_turns;
    std::map<int, std::vector<write_event>> m_events;
    std::map<int, std::vector<std::size_t>> m_ends;
    int m_now = 0;
    double m_due = 0;
};

int sum(const std::vector<int> &values, std::size_t from, std::size_t to)
{
    return std::accumulate(values.begin() + std::ptrdiff_t(from),
                           values.begin() + std::ptrdiff_t(to), 0);
}

} // namespace

TEST_SUITE("write queue")
{
    TEST_CASE("while nothing is scarce each write goes alone and at once")
    {
        write_queue queue;
        queue.setRates(800, 13);
        for (int i = 0; i < 20; ++i) {
            queue.add(std::uint64_t(i), writeOf(std::to_string(i), write_urgency::Begin), at(999));
            const auto batch = queue.take(at(i * 10));
            REQUIRE(batch);
            CHECK(batch->members.size() == 1);
        }
    }

    TEST_CASE("when the store has had enough")
    {
        write_queue queue;
        queue.setRates(100, 10);
        // The daemon has used up its burst credit, and the store has started to refuse calls.
        for (int i = 0; i < 6; ++i)
            queue.onLimited(at(100 * i));
        REQUIRE(queue.rate() == doctest::Approx(10));
        queue.add(1, writeOf("a", write_urgency::Background), at(5000));
        queue.add(2, writeOf("b", write_urgency::Begin), at(5000));
        queue.add(3, writeOf("c", write_urgency::End), at(4000));
        queue.add(4, writeOf("a", write_urgency::Background), at(5000));
        CHECK_FALSE(queue.take(at(501)));

        SUBCASE("what waited goes together, ends before begins, no row twice")
        {
            const auto batch = queue.take(at(700));
            REQUIRE(batch);
            CHECK(batch->transaction.urgency == write_urgency::End);
            CHECK(batch->members == std::vector<std::uint64_t>{3, 2, 1});
            CHECK(batch->transaction.conditions.size() == 3);
            CHECK(batch->deadline == at(5000));
            CHECK(queue.waiting() == 1);
        }
        SUBCASE("it says when the next one may go")
        {
            const auto next = queue.nextBatchAt();
            REQUIRE(next);
            CHECK_FALSE(queue.take(*next - milliseconds(2)));
            CHECK(queue.take(*next));
        }
        SUBCASE("what is given up is passed over")
        {
            CHECK(queue.withdraw(3));
            CHECK_FALSE(queue.withdraw(3));
            CHECK(queue.take(at(700))->members.front() == 2);
        }
        SUBCASE("where a transaction keeps to one part, each goes alone")
        {
            queue.setMerging(false);
            CHECK(queue.take(at(700))->members == std::vector<std::uint64_t>{3});
        }
        SUBCASE("the rate comes back once the store takes all again")
        {
            for (int i = 0; i < 200; ++i)
                queue.onDone(at(1000 + i));
            CHECK(queue.rate() == doctest::Approx(100));
        }
        SUBCASE("it never falls below the daemon's part, however many refusals come")
        {
            for (int i = 0; i < 100; ++i)
                queue.onLimited(at(1000 + 100 * i));
            CHECK(queue.rate() == doctest::Approx(10));
            queue.setRates(100, 5);
            CHECK(queue.rate() == doctest::Approx(20));
        }
    }

    // Regression test: at the peak of a burst, the demand for writes was 1.6 times the store's
    // rate limit. Refused calls were retried and refused again, and the final writes of responses
    // waited behind the first writes of new turns. A third of the responses that clients had read
    // up to their last event never ended.
    TEST_CASE("a burst beyond the store's rate, and what comes after it")
    {
        constexpr int calm = 250;
        constexpr int burst = 640;
        constexpr int callsPerSecond = overload_replay::callsPerSecond;
        const auto replay = [](bool isPaced) {
            overload_replay world(isPaced);
            world.play(4, calm);
            world.play(6, burst);
            world.play(8, calm);
            return world;
        };
        const overload_replay paced = replay(true);
        const overload_replay plain = replay(false);

        // During the burst nearly all turns are served; without pacing, a third were not.
        const double asked = sum(paced.requested, 4, 10);
        CHECK(sum(paced.done, 4, 11) > 0.95 * asked);
        CHECK(sum(plain.done, 4, 11) < 0.8 * asked);
        // The offered calls stay close to the rate limit.
        for (std::size_t second = 5; second < 10; ++second) {
            CHECK(paced.calls.at(second) < 1.25 * callsPerSecond);
            CHECK(plain.calls.at(second) > 1.5 * callsPerSecond);
        }
        // Two seconds after the end of the burst, throughput is as before it.
        CHECK(sum(paced.done, 12, 18) >= 6 * calm - 5);
    }
}

} // namespace azurehill
