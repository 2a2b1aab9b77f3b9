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

/// \brief A store that takes so many calls a second and refuses the rest.
class limited_store
{
public:
    explicit limited_store(double callsPerSecond) : m_callsPerSecond(callsPerSecond) { }

    void passMillisecond() { m_credit = std::min(mostSaved, m_credit + m_callsPerSecond / 1000); }
    bool takes()
    {
        ++calls;
        if (m_credit < 1)
            return false;
        m_credit -= 1;
        return true;
    }
    int calls = 0;

private:
    static constexpr double mostSaved = 40;
    double m_callsPerSecond;
    double m_credit = mostSaved;
};

/// \brief Daemons whose turns each need a write to begin and one to end, on a store that is short.
/// Time passes in steps of a millisecond.
class overload_replay
{
public:
    static constexpr int daemons = 13;
    static constexpr int callsPerSecond = 800;

    /// \param isPaced whether the daemons' writes go through queues, or at once with a pause that
    /// doubles after each refusal.
    explicit overload_replay(bool isPaced) : m_isPaced(isPaced), m_store(callsPerSecond)
    {
        for (write_queue &queue : m_queues)
            queue.setRates(callsPerSecond, daemons);
    }

    /// \brief Plays \p seconds in which \p turnsPerSecond begin each second.
    void play(int seconds, int turnsPerSecond)
    {
        for (int ms = 0; ms < 1000 * seconds; ++ms) {
            ++m_now;
            m_store.passMillisecond();
            m_due += turnsPerSecond / 1000.0;
            for (; m_due >= 1; m_due -= 1) {
                ++asked.back();
                begin(m_turns.emplace_back());
            }
            step();
            if (m_now % 1000 == 0)
                nextSecond();
        }
    }

    /// Turns that began and that ended with their last write done, and calls made, by second.
    std::vector<int> asked{0};
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
    struct happening
    {
        std::size_t turn = 0;
        bool isWritten = false;
    };

    void begin(turn_state &turn)
    {
        turn.number = m_turns.size() - 1;
        want(turn, false);
    }
    void want(turn_state &turn, bool isEnding)
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
        if (m_store.takes()) {
            m_later[m_now + answerMs].push_back({turn.number, true});
            return;
        }
        m_later[m_now + turn.pauseMs].push_back({turn.number, false});
        turn.pauseMs *= 2;
    }
    void sendBatch(write_queue &queue, const write_batch &batch)
    {
        const bool isDone = m_store.takes();
        if (isDone)
            queue.onDone(at(m_now));
        else
            queue.onLimited(at(m_now));
        for (const std::uint64_t number : batch.members) {
            turn_state &turn = m_turns.at(number);
            if (isDone)
                m_later[m_now + answerMs].push_back({turn.number, true});
            else if (m_now < turn.expiresAt)
                enqueue(turn);
        }
    }
    void step()
    {
        for (const happening &h : std::exchange(m_later[m_now], {})) {
            turn_state &turn = m_turns.at(h.turn);
            if (!h.isWritten)
                sendUnpaced(turn);
            else if (turn.isEnding)
                ++done.back();
            else
                m_ends[m_now + streamMs].push_back(h.turn);
        }
        for (const std::size_t number : std::exchange(m_ends[m_now], {}))
            want(m_turns.at(number), true);
        for (write_queue &queue : m_queues) {
            while (const auto batch = queue.take(at(m_now)))
                sendBatch(queue, *batch);
        }
    }
    void nextSecond()
    {
        calls.push_back(std::exchange(m_store.calls, 0));
        asked.push_back(0);
        done.push_back(0);
    }

    bool m_isPaced;
    limited_store m_store;
    std::array<write_queue, daemons> m_queues;
    std::deque<turn_state> m_turns;
    std::map<int, std::vector<happening>> m_later;
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
        // A burst of the daemon's own used up what it had saved, and the store began to refuse.
        for (int i = 0; i < 6; ++i)
            queue.onLimited(at(100 * i));
        REQUIRE(queue.rate() == doctest::Approx(10));
        queue.add(1, writeOf("a", write_urgency::Upkeep), at(5000));
        queue.add(2, writeOf("b", write_urgency::Begin), at(5000));
        queue.add(3, writeOf("c", write_urgency::End), at(4000));
        queue.add(4, writeOf("a", write_urgency::Upkeep), at(5000));
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

    // At the height of a burst the programs wanted 1.6 times the writes that the store takes. Its
    // refusals were asked again, which were refused as well; ends of answers waited behind begins,
    // and a third of the answers that clients had read to their last event never ended.
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

        // In the burst: nearly all are served, where a third was not.
        const double asked = sum(paced.asked, 4, 10);
        CHECK(sum(paced.done, 4, 11) > 0.95 * asked);
        CHECK(sum(plain.done, 4, 11) < 0.8 * asked);
        // Offered calls stay near the rate.
        for (std::size_t second = 5; second < 10; ++second) {
            CHECK(paced.calls.at(second) < 1.25 * callsPerSecond);
            CHECK(plain.calls.at(second) > 1.5 * callsPerSecond);
        }
        // Two seconds after its end, as before it.
        CHECK(sum(paced.done, 12, 18) >= 6 * calm - 5);
    }
}

} // namespace azurehill
