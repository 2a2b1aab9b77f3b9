// Daemons and a dispatcher over a network that loses and delays messages.
#include "dispatch/dispatch.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <random>

namespace azurehill {

namespace {

constexpr duration step = milliseconds(10);
constexpr int renewalSteps = 25;

/// \brief What happens in one run.
struct dispatch_scenario
{
    int daemons = 3;
    int replicas = 6;
    int slots = 4;
    /// Percentages of the messages that are lost, and of the steps in which a daemon dies or the
    /// replicas change.
    int lossPercent = 0;
    int deathPercent = 0;
    int changePercent = 0;
    bool hasFailures = false;
    unsigned seed = 1;
};

class dispatch_world
{
public:
    explicit dispatch_world(const dispatch_scenario &s) : m_scenario(s), m_random(s.seed)
    {
        for (int i = 0; i < s.replicas; ++i)
            m_all.push_back({{{"r" + std::to_string(i)}, 1}, s.slots});
        for (int i = 0; i < s.daemons; ++i)
            m_daemons.push_back({"d" + std::to_string(i)});
        m_dispatcher.setReplicas(m_all, m_now);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            addRequests();
            if (chance(m_scenario.deathPercent))
                killDaemon();
            if (chance(m_scenario.changePercent))
                changeReplicas();
            endTurns();
            advance();
        }
    }

    /// \brief Ends all turns and checks that every slot can be used again.
    void finish()
    {
        m_dispatcher.setReplicas(m_all, m_now);
        for (auto &[ticket, t] : std::exchange(m_active, {}))
            sendRelease(ticket);
        for (int i = 0; i < 600; ++i)
            advance();
        RC_ASSERT(m_dispatcher.gauges(m_now).inFlight == 0);
        RC_ASSERT(!m_dispatcher.hasQueued());
        RC_ASSERT(m_dispatcher.gauges(m_now).programs == 0);
        if (m_scenario.hasFailures)
            return;
        // Later turns only: the first turns of programs are limited by more than slots.
        const int slots = m_scenario.replicas * m_scenario.slots;
        m_granted.clear();
        for (int i = 0; i < slots; ++i)
            m_dispatcher.onRequest(makeRequest("last", std::to_string(i)), m_now);
        check();
        RC_ASSERT(m_dispatcher.gauges(m_now).inFlight == slots);
    }

private:
    struct turn
    {
        slot_request request;
        int age = 0;
        bool hasAnswer = false;
        /// Set once the turn runs.
        replica_incarnation replica;
    };

    bool chance(int percent) { return int(m_random() % 100) < percent; }

    /// \brief Delivers a message now or up to 200 ms later, or not at all.
    void send(std::function<void()> deliver)
    {
        if (!chance(m_scenario.lossPercent))
            m_messages.emplace(m_now + step * int(m_random() % 20 / (1 + m_random() % 20)),
                               std::move(deliver));
    }

    slot_request makeRequest(const std::string &program, const std::string &session)
    {
        slot_request r;
        r.ticket = {m_daemons[m_random() % m_daemons.size()], 1, ++m_lastNumber};
        r.route = "route" + std::to_string(m_random() % 2);
        r.program = {program};
        r.session = session;
        r.rank = int(m_random() % 3);
        r.timeToFinish = milliseconds(m_random() % 6000);
        r.timeLeft = seconds(4);
        r.promptTokens = std::int64_t(m_random() % 9000);
        return r;
    }

    void addRequests()
    {
        const int slots = m_scenario.replicas * m_scenario.slots;
        for (int i = 0; i < 1 + slots / 10; ++i) {
            const auto program = std::to_string(m_random() % unsigned(3 * slots));
            const slot_request r = makeRequest(program, std::to_string(m_random() % 2));
            m_active[r.ticket].request = r;
        }
    }

    void killDaemon()
    {
        const daemon_id dead = m_daemons[m_random() % m_daemons.size()];
        std::erase_if(m_active, [&](const auto &item) { return item.first.daemon == dead; });
        // It returns under another name, since the members notice it or not.
        std::replace(m_daemons.begin(), m_daemons.end(), dead,
                     daemon_id{"e" + std::to_string(++m_lastNumber)});
        if (chance(50))
            m_dispatcher.releaseUnless([&](const slot_ticket &t) { return t.daemon != dead; },
                                       m_now);
    }

    void changeReplicas()
    {
        std::vector<engine_replica> listed = m_all;
        std::erase_if(listed, [this](const engine_replica &) { return chance(20); });
        m_dispatcher.setReplicas(listed, m_now);
    }

    void sendRelease(const slot_ticket &ticket)
    {
        slot_release r;
        r.ticket = ticket;
        r.outcome = m_scenario.hasFailures && chance(10) ? send_outcome::Failed
            : chance(10)                                 ? send_outcome::NotRun
            : chance(10)                                 ? send_outcome::Cancelled
                                                         : send_outcome::Answered;
        send([this, r] { m_dispatcher.onRelease(r, m_now); });
    }

    void endTurns()
    {
        for (auto &[ticket, t] : m_active) {
            ++t.age;
            // As a daemon does, requests are repeated until any answer arrives.
            if (!t.hasAnswer && (t.age == 1 || t.age == 5 || t.age == 9))
                send([this, r = t.request] { m_dispatcher.onRequest(r, m_now); });
        }
        std::erase_if(m_active, [this](const auto &item) {
            const turn &t = item.second;
            const bool isUnreachable = !t.hasAnswer && t.age > 20;
            const bool ends = isUnreachable || chance(t.replica.id.empty() ? 1 : 8);
            if (ends)
                sendRelease(item.first);
            return ends;
        });
    }

    void renewAll()
    {
        std::map<daemon_id, slot_renewal> renewals;
        for (const daemon_id &d : m_daemons)
            renewals[d] = {d, 1, "model", 0, {}};
        for (const auto &[ticket, t] : m_active)
            renewals[ticket.daemon].tickets.push_back(
                {ticket.number, t.request.program, t.request.session, t.replica, 100});
        for (const auto &[daemon, renewal] : renewals)
            send([this, r = renewal] { m_dispatcher.onRenewal(r, m_now); });
    }

    void advance()
    {
        m_now += step;
        if (++m_steps % renewalSteps == 0)
            renewAll();
        while (!m_messages.empty() && m_messages.begin()->first <= m_now)
            m_messages.extract(m_messages.begin()).mapped()();
        m_dispatcher.update(m_now);
        check();
    }

    void onAnswer(const slot_ticket &ticket, const slot_decision &d)
    {
        const auto found = m_active.find(ticket);
        if (found == m_active.end())
            return;
        found->second.hasAnswer = true;
        if (const auto *const grant = std::get_if<slot_grant>(&d.answer))
            found->second.replica = grant->replica;
        else if (std::holds_alternative<slot_refusal>(d.answer))
            m_active.erase(found);
    }

    void check()
    {
        for (const slot_decision &d : m_dispatcher.takeDecisions()) {
            const slot_ticket &ticket = d.request.ticket;
            if (const auto *const grant = std::get_if<slot_grant>(&d.answer))
                m_granted[ticket] = grant->replica;
            const bool isFinal = !std::holds_alternative<slot_queued>(d.answer);
            if (isFinal && m_active.contains(ticket)) {
                const auto kind = m_finalKinds.try_emplace(ticket, d.answer.index()).first;
                RC_ASSERT(kind->second == d.answer.index());
            }
            send([this, ticket, d] { onAnswer(ticket, d); });
        }
        std::erase_if(m_granted,
                      [this](const auto &item) { return !m_dispatcher.isGranted(item.first); });
        // By the dispatcher's record, and as the engines see it.
        std::map<replica_incarnation, int> granted;
        for (const auto &[ticket, replica] : m_granted)
            RC_ASSERT(++granted[replica] <= m_scenario.slots);
        std::map<replica_incarnation, int> running;
        for (const auto &[ticket, t] : m_active) {
            if (!t.replica.id.empty())
                RC_ASSERT(++running[t.replica] <= m_scenario.slots);
        }
    }

    dispatch_scenario m_scenario;
    std::minstd_rand m_random;
    time_point m_now{seconds(1000)};
    program_dispatcher m_dispatcher{1, m_now};
    std::vector<engine_replica> m_all;
    std::vector<daemon_id> m_daemons;
    std::multimap<time_point, std::function<void()>> m_messages;
    std::map<slot_ticket, turn> m_active;
    std::map<slot_ticket, replica_incarnation> m_granted;
    /// The final answer to each ticket that its daemon still used.
    std::map<slot_ticket, std::size_t> m_finalKinds;
    std::uint64_t m_lastNumber = 0;
    int m_steps = 0;
};

} // namespace

TEST_CASE("slots are neither exceeded nor lost, and answers don't change")
{
    // Guards against engines that queue requests, slots that no one uses and turns that run twice.
    for (const int daemons : {3, 30, 88, 300}) {
        CHECK(rc::check("over losses, delays, deaths and changes, at " + std::to_string(daemons)
                            + " daemons",
                        [daemons] {
                            dispatch_scenario s;
                            s.daemons = daemons;
                            s.replicas = *rc::gen::inRange(1, 12);
                            s.slots = *rc::gen::inRange(1, 9);
                            s.lossPercent = *rc::gen::element(0, 3, 10);
                            s.deathPercent = *rc::gen::element(0, 5);
                            s.changePercent = *rc::gen::element(0, 3);
                            s.hasFailures = *rc::gen::arbitrary<bool>();
                            s.seed = *rc::gen::inRange(1u, 1'000'000u);
                            dispatch_world world(s);
                            world.run(*rc::gen::inRange(10, 250));
                            world.finish();
                        }));
    }
}

} // namespace azurehill
