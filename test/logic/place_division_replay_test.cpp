#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

namespace azurehill::test {

namespace {

/// \brief Daemons with a gate each before the same engines, and callers that stay with the daemon
/// that they found first. Time passes in steps of ten milliseconds.
class limiters_replay
{
public:
    static constexpr int daemons = 11;
    static constexpr int replicas = 18;
    static constexpr int slots = 96;

    limiters_replay() : m_gates(daemons), m_told(daemons) { divide(); }

    /// \brief Adds programs whose callers stay with \p daemon.
    void addPrograms(int daemon, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_programs.push_back({daemon});
            // Spread over the first second, so that turns don't all come at one moment.
            m_events[stepMs * (int(m_programs.size()) * 37 % 100)].push_back(
                {m_programs.size() - 1, step::Try});
        }
    }

    void play(int seconds)
    {
        for (m_now = 0; m_now < 1000 * seconds; m_now += stepMs) {
            for (const auto &[program, what] : std::exchange(m_events[m_now], {}))
                happen(program, what);
            if (m_now % gossipIntervalMs == 0)
                divide();
            for (int d = 0; d < daemons; ++d)
                grant(d);
        }
    }

    int turns = 0;
    int refused = 0;
    /// The most refusals in a row of one turn.
    int maxRefusalsInRow = 0;

private:
    static constexpr int stepMs = 10;
    /// Daemons know each other's demand as it was one to two rounds of this long ago.
    static constexpr int gossipIntervalMs = 200;
    static constexpr int answerMs = 700;
    static constexpr int pauseMs = 100;
    static constexpr int clientTimeoutMs = 6000;
    static constexpr double gatePatience = 0.4;
    static constexpr int comeBackMs = 300;

    enum class step { Try, GiveUp, End };

    struct program_state
    {
        int daemon = 0;
        std::uint64_t ticket = 0;
        bool isInside = false;
        int refusedInRow = 0;
        int deadline = 0;
    };

    void divide()
    {
        for (int d = 0; d < daemons; ++d) {
            std::vector<concurrency_report> others = m_told;
            others.erase(others.begin() + d);
            m_gates[std::size_t(d)].setEngineCapacity({replicas, replicas * slots});
            m_gates[std::size_t(d)].hear(others);
        }
        for (int d = 0; d < daemons; ++d)
            m_told[std::size_t(d)] = m_gates[std::size_t(d)].tell();
    }

    concurrency_limiter &gateOf(const program_state &p) { return m_gates[std::size_t(p.daemon)]; }

    void happen(std::size_t number, step what)
    {
        program_state &p = m_programs[number];
        if (what == step::Try)
            tryTurn(number);
        else if (what == step::End)
            endTurn(number);
        else if (!p.isInside && gateOf(p).withdraw(p.ticket))
            refuse(number);
    }

    void tryTurn(std::size_t number)
    {
        program_state &p = m_programs[number];
        if (p.deadline <= m_now)
            p.deadline = m_now + clientTimeoutMs;
        admission_request ticket;
        ticket.number = ++m_lastTicket;
        ticket.slack = milliseconds(p.deadline - m_now);
        p.ticket = ticket.number;
        m_byTicket[ticket.number] = number;
        if (gateOf(p).enter(ticket)) {
            begin(number);
            return;
        }
        const int patience = int(gatePatience * (p.deadline - m_now)) / stepMs * stepMs;
        m_events[m_now + std::max(stepMs, patience)].push_back({number, step::GiveUp});
    }

    void begin(std::size_t number)
    {
        program_state &p = m_programs[number];
        p.isInside = true;
        p.refusedInRow = 0;
        p.deadline = 0;
        ++turns;
        m_events[m_now + answerMs].push_back({number, step::End});
    }

    void endTurn(std::size_t number)
    {
        program_state &p = m_programs[number];
        p.isInside = false;
        gateOf(p).leave();
        m_events[m_now + pauseMs].push_back({number, step::Try});
    }

    void refuse(std::size_t number)
    {
        program_state &p = m_programs[number];
        ++refused;
        ++p.refusedInRow;
        maxRefusalsInRow = std::max(maxRefusalsInRow, p.refusedInRow);
        m_events[m_now + comeBackMs].push_back({number, step::Try});
    }

    void grant(int daemon)
    {
        for (const std::uint64_t ticket : m_gates[std::size_t(daemon)].take())
            begin(m_byTicket.at(ticket));
    }

    std::vector<concurrency_limiter> m_gates;
    std::vector<concurrency_report> m_told;
    std::vector<program_state> m_programs;
    std::map<int, std::vector<std::pair<std::size_t, step>>> m_events;
    std::map<std::uint64_t, std::size_t> m_byTicket;
    std::uint64_t m_lastTicket = 0;
    int m_now = 0;
};

} // namespace

TEST_SUITE("places by daemon")
{
    TEST_CASE("callers that all stay with one daemon find places there")
    {
        // After a power loss of all hosts, runners were refused for the rest of the recovery with
        // "the engines are busy" while the engines were a fifth full. The daemon that was up first
        // had answered the callers' look-ups and kept nearly half of them, and an eleventh of the
        // places: "waiting":78,"limit":24.1, 2,388 ms of waiting and then 503, while four others
        // had 8 to 14 turns a second, limits of 13 to 23 and nobody waiting.
        limiters_replay replay;
        replay.addPrograms(0, 90);
        for (int d = 1; d < limiters_replay::daemons; ++d)
            replay.addPrograms(d, 10);
        replay.play(13);
        CHECK(replay.turns > 2000);
        CHECK(replay.refused < replay.turns / 100);
        CHECK(replay.maxRefusalsInRow <= 1);
    }

    TEST_CASE("daemons before the same engines agree on what a replica bears")
    {
        // Eleven seconds after a power loss, one daemon still refused what ten others had places
        // for. It had seen a few slow answers, on which its bound fell to 3.9 requests a replica
        // while another daemon's rose to 21.7 before the same engines at the same moment; its 34
        // waiting turns shared 8 places, "inflation":2.94,"waited_ms":2319.
        constexpr int daemons = 4;
        constexpr int replicas = 18;
        constexpr double idlePace = 10;
        constexpr double slowPace = 36;
        constexpr double usualPace = 24;
        std::vector<concurrency_limiter> gates(daemons);
        for (concurrency_limiter &gate : gates) {
            gate.setEngineCapacity({replicas, replicas * 96});
            gate.setLimitShare(1.0 / daemons);
            gate.onPace(idlePace, time_point());
        }
        std::uint64_t ticket = 0;
        for (int ms = 0; ms < 10'000; ms += 50) {
            for (concurrency_limiter &gate : gates) {
                while (gate.waiting() < 4)
                    gate.enter({++ticket, 1, deadline_feasibility::OnTime, seconds(1)});
                const bool isUnlucky = &gate == &gates.front();
                const time_point now(milliseconds(1'000'000 + ms));
                gate.onPace(isUnlucky ? slowPace : usualPace, now);
                gate.take();
            }
            if (ms % 200 != 0)
                continue;
            std::vector<concurrency_report> told;
            told.reserve(gates.size());
            for (concurrency_limiter &gate : gates)
                told.push_back(gate.tell());
            for (std::size_t d = 0; d < gates.size(); ++d) {
                std::vector<concurrency_report> others = told;
                others.erase(others.begin() + std::ptrdiff_t(d));
                gates[d].hear(others);
            }
        }
        const auto [least, most]
            = std::minmax_element(gates.begin(), gates.end(),
                                  [](const concurrency_limiter &a, const concurrency_limiter &b) {
                                      return a.limit() < b.limit();
                                  });
        CHECK(most->limit() < 1.3 * least->limit());
    }

    TEST_CASE("callers that are spread evenly find the same places as ever")
    {
        limiters_replay replay;
        for (int d = 0; d < limiters_replay::daemons; ++d)
            replay.addPrograms(d, 20);
        replay.play(13);
        CHECK(replay.turns > 2900);
        CHECK(replay.refused == 0);
    }
}

} // namespace azurehill::test
