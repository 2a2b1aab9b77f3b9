// Replays the worst load of docs/design/program-dispatch.md: 62 daemons before 44 replicas of 8
// slots, with a burst. Turns are granted by one dispatcher, or chosen by each daemon on its own.
#include "dispatch/dispatch.h"
#include "engine_model.h"
#include "replicas/replicas.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <random>

namespace azurehill::test {

namespace {

constexpr int daemons = 62;
constexpr std::size_t replicas = 44;
constexpr int slots = 8;
constexpr std::int64_t cacheTokens = 99'635;
constexpr std::int64_t sharedTokens = 1500;
/// Prompts then have some 6,500 tokens on average, and a turn lasts 0.23 s at an idle engine.
constexpr std::int64_t newTokens = 1000;
constexpr std::int64_t outputTokens = 44;
constexpr duration requestTime = seconds(4);
constexpr const char *service = "model";

replica_incarnation replicaAt(std::size_t i)
{
    return {{"r" + std::to_string(100 + i)}, 1};
}

std::size_t indexOf(const replica_incarnation &who)
{
    return std::size_t(std::stoi(who.id.value.substr(1)) - 100);
}

/// \brief A turn on its way, as its daemon knows it.
struct replay_turn
{
    slot_request request;
    std::size_t daemon = 0;
    std::size_t program = 0;
    int turnsBefore = 0;
    std::int64_t historyTokens = 0;
    std::size_t replica = 0;
    time_point sentAt;
    time_point firstByteAt;
};

/// \brief Decides when and where turns run.
class turn_scheduler
{
public:
    std::function<void(std::uint64_t number, std::size_t replica)> onGranted;
    std::function<void(std::uint64_t number, duration retryAfter)> onRefused;

    virtual ~turn_scheduler() = default;
    virtual void request(const replay_turn &turn, time_point now) = 0;
    virtual void onFirstByte(const replay_turn &turn, time_point now) = 0;
    virtual void onEnd(const replay_turn &turn, double msPerEvent, time_point now) = 0;
    /// \brief Called each millisecond.
    virtual void tick(time_point now) = 0;
};

/// \brief One dispatcher grants the slots.
class dispatched_turns : public turn_scheduler
{
public:
    explicit dispatched_turns(time_point now) : m_dispatcher(1, now)
    {
        std::vector<engine_replica> listed;
        for (std::size_t i = 0; i < replicas; ++i)
            listed.push_back({replicaAt(i), slots});
        m_dispatcher.setReplicas(listed, now);
    }
    void request(const replay_turn &turn, time_point now) override
    {
        m_active[turn.request.ticket] = {turn.request.ticket.number, turn.request.program,
                                         turn.request.session, replica_incarnation(), outputTokens};
        m_dispatcher.onRequest(turn.request, now);
        report();
    }
    void onFirstByte(const replay_turn &, time_point) override { }
    void onEnd(const replay_turn &turn, double msPerEvent, time_point now) override
    {
        slot_release r;
        r.ticket = turn.request.ticket;
        r.msPerEvent = msPerEvent;
        m_active.erase(r.ticket);
        m_dispatcher.onRelease(r, now);
        report();
    }
    void tick(time_point now) override
    {
        if (now.time_since_epoch() % milliseconds(250) == duration::zero())
            renewAll(now);
        if (now.time_since_epoch() % milliseconds(10) == duration::zero())
            m_dispatcher.update(now);
        report();
    }

private:
    void renewAll(time_point now)
    {
        std::map<daemon_id, slot_renewal> renewals;
        for (const auto &[ticket, active] : m_active) {
            slot_renewal &r = renewals[ticket.daemon];
            r.daemon = ticket.daemon;
            r.incarnation = ticket.incarnation;
            r.tickets.push_back(active);
        }
        for (const auto &[daemon, renewal] : renewals)
            m_dispatcher.onRenewal(renewal, now);
    }
    void report()
    {
        for (const slot_decision &d : m_dispatcher.takeDecisions()) {
            const slot_ticket &ticket = d.request.ticket;
            if (const auto *const grant = std::get_if<slot_grant>(&d.answer)) {
                m_active[ticket].replica = grant->replica;
                onGranted(ticket.number, indexOf(grant->replica));
            } else if (const auto *const refusal = std::get_if<slot_refusal>(&d.answer)) {
                m_active.erase(ticket);
                onRefused(ticket.number, refusal->retryAfter);
            }
        }
    }

    program_dispatcher m_dispatcher;
    std::map<slot_ticket, active_ticket> m_active;
};

/// \brief Each daemon limits and places its turns by its own counts and the others' reports.
class turns_by_daemon : public turn_scheduler
{
public:
    explicit turns_by_daemon(time_point now)
    {
        std::vector<replica_entry> entries;
        for (std::size_t i = 0; i < replicas; ++i)
            entries.push_back({replicaAt(i), service, {"10.0.0.1", 80}, {"dc"}, slots, false, 1});
        for (std::uint64_t i = 0; i < daemons; ++i) {
            daemon_state &d = m_daemons.emplace_back(i + 1);
            d.balancer.setCacheTokens(service, cacheTokens);
            d.balancer.setReplicas(entries, now);
            d.balancer.setDaemons(daemons);
            d.limiter.setEngineCapacity({int(replicas), int(replicas) * slots});
        }
        gossip();
    }
    void request(const replay_turn &turn, time_point now) override
    {
        const std::uint64_t number = turn.request.ticket.number;
        m_turns[number] = {turn, {}, {}, now + requestTime * 2 / 5};
        admission_request r{number, turn.request.rank};
        // Every turn whose caller keeps its history counts as a later one.
        r.continues = true;
        r.slack = *turn.request.timeToFinish;
        if (r.slack <= duration::zero())
            r.feasibility = deadline_feasibility::Late;
        if (m_daemons[turn.daemon].limiter.tryAdmit(r))
            place(number, now);
        else
            m_queued.push_back(number);
    }
    void onFirstByte(const replay_turn &turn, time_point now) override
    {
        const sent_turn &t = m_turns.at(turn.request.ticket.number);
        m_daemons[turn.daemon].balancer.onFirstByte(t.chosen, t.placed, now - turn.sentAt, now);
    }
    void onEnd(const replay_turn &turn, double msPerEvent, time_point now) override
    {
        const auto ended = m_turns.extract(turn.request.ticket.number);
        daemon_state &d = m_daemons[turn.daemon];
        d.balancer.onDone(ended.mapped().chosen, send_outcome::Answered, now);
        d.limiter.onEventInterval(msPerEvent, now);
        d.limiter.release();
        admitQueued(d, now);
    }
    void tick(time_point now) override
    {
        if (now.time_since_epoch() % milliseconds(200) == duration::zero()) {
            gossip();
            for (daemon_state &d : m_daemons)
                admitQueued(d, now);
        }
        while (!m_queued.empty()) {
            const auto found = m_turns.find(m_queued.front());
            const bool isExpired = found != m_turns.end() && now >= found->second.expiresAt;
            if (found != m_turns.end() && !isExpired)
                break;
            const std::uint64_t number = m_queued.front();
            m_queued.pop_front();
            if (!isExpired || !m_daemons[found->second.turn.daemon].limiter.cancelWait(number))
                continue;
            m_turns.erase(found);
            onRefused(number, milliseconds(300));
        }
    }

private:
    struct daemon_state
    {
        explicit daemon_state(std::uint64_t seed) : balancer({"dc"}, seed) { }
        replica_load_balancer balancer;
        concurrency_limiter limiter;
    };
    struct sent_turn
    {
        replay_turn turn;
        placement_request placed;
        placement chosen;
        time_point expiresAt;
    };

    void admitQueued(daemon_state &d, time_point now)
    {
        for (const std::uint64_t number : d.limiter.admitQueued())
            place(number, now);
    }
    void place(std::uint64_t number, time_point now)
    {
        sent_turn &t = m_turns.at(number);
        const slot_request &r = t.turn.request;
        t.placed.service = service;
        t.placed.parts
            = {{"shared", sharedTokens}, {r.program.value, t.turn.historyTokens + newTokens}};
        t.placed.session = r.program.value;
        t.placed.turnsBefore = t.turn.turnsBefore;
        t.placed.promptTokens = r.promptTokens;
        replica_load_balancer &balancer = m_daemons[t.turn.daemon].balancer;
        t.chosen = balancer.choose(t.placed, now).value();
        balancer.onSent(t.chosen, t.placed, now);
        onGranted(number, indexOf(t.chosen.replica.incarnation));
    }
    void gossip()
    {
        std::vector<concurrency_report> reports;
        for (daemon_state &d : m_daemons)
            reports.push_back(d.limiter.publishReport());
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            std::vector<concurrency_report> others = reports;
            others.erase(others.begin() + std::ptrdiff_t(i));
            m_daemons[i].limiter.mergeReports(others);
        }
    }

    std::deque<daemon_state> m_daemons;
    std::map<std::uint64_t, sent_turn> m_turns;
    std::deque<std::uint64_t> m_queued;
};

struct program_kind
{
    const char *route;
    int turns;
    int rank;
    double perSecond;
};

constexpr program_kind kinds[] = {{"load-plan", 4, 0, 50.5}, {"cold-complaint", 11, 2, 35.5}};
constexpr double idleTurnSeconds = 0.4;
constexpr int accounts = 20;

/// \brief Clients, engines and a scheduler. Time advances in steps of one millisecond.
class program_replay
{
public:
    template <class Scheduler>
    static program_replay with()
    {
        return program_replay([](time_point now) { return std::make_unique<Scheduler>(now); });
    }

    /// \brief Simulates \p time with \p factor times the usual programs, and \p busyFactor times as
    /// many of the first account's programs of \p busyRank.
    void play(duration time, double factor, double busyFactor = 1, int busyRank = 0)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += milliseconds(1)) {
            arrive(factor, busyFactor, busyRank);
            while (!m_events.empty() && m_events.begin()->first <= m_now)
                m_events.extract(m_events.begin()).mapped()();
            m_scheduler->tick(m_now);
            for (std::size_t i = 0; i < replicas; ++i) {
                for (const engine_event &e : m_engines[i].advanceMillisecond())
                    onEngineEvent(i, e);
            }
        }
    }
    /// \returns the share of the programs arrived in the given seconds that ended in time.
    double inTime(int from, int to, int rank = -1) const
    {
        int count = 0;
        int good = 0;
        for (const program_state &p : m_programs) {
            const bool isCounted = p.arrivedAt >= m_start + seconds(from)
                && p.arrivedAt < m_start + seconds(to) && p.account > 0
                && (rank < 0 || p.kind->rank == rank);
            count += isCounted ? 1 : 0;
            good += isCounted && p.isInTime ? 1 : 0;
        }
        return double(good) / std::max(1, count);
    }
    /// \returns the share of the turns that exceeded the slots of their replica while slots were
    /// free elsewhere.
    double excess() const { return double(m_excess) / m_sent; }

private:
    struct program_state
    {
        const program_kind *kind = nullptr;
        /// Account 0 is the one whose rate can differ. The others are counted.
        int account = 0;
        time_point arrivedAt;
        time_point finishAt;
        int turnsDone = 0;
        int tries = 0;
        bool isInTime = false;
    };

    template <class MakeScheduler>
    explicit program_replay(const MakeScheduler &makeScheduler)
        : m_scheduler(makeScheduler(m_start)),
          m_engines(replicas, engine_model({slots, 4.84, 74.8, 2048, cacheTokens})),
          m_inFlight(replicas)
    {
        for (int account = 0; account < accounts; ++account)
            m_accountRandoms.emplace_back(7 + account);
        // Messages between daemons take half a millisecond each way.
        m_scheduler->onGranted = [this](std::uint64_t number, std::size_t replica) {
            after(milliseconds(1), [=, this] { run(number, replica); });
        };
        m_scheduler->onRefused = [this](std::uint64_t number, duration retryAfter) {
            after(milliseconds(1), [=, this] { onRefused(number, retryAfter); });
        };
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    double uniform(int account, double from, double to)
    {
        auto &random = m_accountRandoms[std::size_t(account)];
        return std::uniform_real_distribution<double>(from, to)(random);
    }
    void after(duration delay, std::function<void()> what)
    {
        m_events.emplace(m_now + delay, std::move(what));
    }
    void arrive(double factor, double busyFactor, int busyRank)
    {
        for (const program_kind &kind : kinds) {
            for (int account = 0; account < accounts; ++account) {
                const bool isBusy = account == 0 && kind.rank == busyRank;
                const double f = isBusy ? factor * busyFactor : factor;
                if (uniform(account, 0, 1) < f * kind.perSecond / accounts / 1000)
                    addProgram(kind, account);
            }
        }
    }
    void addProgram(const program_kind &kind, int account)
    {
        const double target = uniform(account, 1.5, 2.8) * kind.turns * idleTurnSeconds;
        m_programs.push_back({&kind, account, m_now, m_now + milliseconds(int(1000 * target))});
        sendTurn(m_programs.size() - 1);
    }
    void sendTurn(std::size_t program)
    {
        const program_state &p = m_programs[program];
        replay_turn turn;
        turn.program = program;
        turn.daemon = m_random() % daemons;
        turn.turnsBefore = p.turnsDone;
        turn.historyTokens = p.turnsDone * (newTokens + outputTokens);
        slot_request &r = turn.request;
        r.ticket = {{"d" + std::to_string(turn.daemon)}, 1, ++m_lastNumber};
        r.service = service;
        r.route = p.kind->route;
        r.account = {"a" + std::to_string(p.account)};
        r.program = {"p" + std::to_string(program)};
        r.rank = p.kind->rank;
        r.timeToFinish = std::max(duration::zero(), duration(p.finishAt - m_now));
        r.timeLeft = requestTime;
        r.promptTokens = sharedTokens + turn.historyTokens + newTokens;
        m_turns[m_lastNumber] = turn;
        after(milliseconds(1), [this, turn] { m_scheduler->request(turn, m_now); });
    }
    void onRefused(std::uint64_t number, duration retryAfter)
    {
        const std::size_t program = m_turns.extract(number).mapped().program;
        constexpr int maxTries = 6;
        const int tries = ++m_programs[program].tries;
        if (tries >= maxTries)
            return;
        const bool isRetry = tries % 2 == 1;
        after(isRetry ? std::min<duration>(retryAfter, requestTime / 3)
                      : duration(milliseconds(int(uniform(100, 400)))),
              [=, this] { sendTurn(program); });
    }
    void run(std::uint64_t number, std::size_t replica)
    {
        replay_turn &turn = m_turns.at(number);
        turn.replica = replica;
        turn.sentAt = m_now;
        const bool isFreeElsewhere = std::any_of(m_inFlight.begin(), m_inFlight.end(),
                                                 [](int count) { return count < slots; });
        ++m_sent;
        m_excess += m_inFlight[replica] >= slots && isFreeElsewhere ? 1 : 0;
        ++m_inFlight[replica];
        m_engines[replica].add({number, "shared", turn.request.program.value, sharedTokens,
                                turn.historyTokens, newTokens, outputTokens});
    }
    void onEngineEvent(std::size_t replica, const engine_event &event)
    {
        replay_turn &turn = m_turns.at(event.number);
        if (event.isFirstToken) {
            turn.firstByteAt = m_now;
            m_scheduler->onFirstByte(turn, m_now);
        }
        if (!event.isEnd)
            return;
        --m_inFlight[replica];
        const double ms
            = std::chrono::duration<double, std::milli>(m_now - turn.firstByteAt).count();
        const replay_turn ended = m_turns.extract(event.number).mapped();
        after(milliseconds(1),
              [this, ended, ms] { m_scheduler->onEnd(ended, ms / (outputTokens - 1), m_now); });
        onTurnDone(ended.program);
    }
    void onTurnDone(std::size_t program)
    {
        program_state &p = m_programs[program];
        p.tries = 0;
        if (++p.turnsDone == p.kind->turns)
            p.isInTime = m_now <= p.finishAt;
        else
            after(milliseconds(int(uniform(100, 200))), [=, this] { sendTurn(program); });
    }

    time_point m_start{seconds(1000)};
    time_point m_now = m_start;
    std::minstd_rand m_random{7};
    /// One each, so that the others' programs are the same whatever one account sends.
    std::vector<std::mt19937> m_accountRandoms;
    std::unique_ptr<turn_scheduler> m_scheduler;
    std::vector<engine_model> m_engines;
    std::vector<int> m_inFlight;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<program_state> m_programs;
    std::map<std::uint64_t, replay_turn> m_turns;
    std::uint64_t m_lastNumber = 0;
    int m_sent = 0;
    int m_excess = 0;
};

/// Programs that arrive in these seconds count as before, and as after the burst.
constexpr int beforeFrom = 4;
constexpr int beforeTo = 8;
constexpr int burstFrom = 14;
constexpr int burstTo = 19;
constexpr int afterFrom = burstTo + 5;
constexpr int afterTo = afterFrom + 4;

void playBurst(program_replay &replay)
{
    replay.play(seconds(burstFrom), 1);
    replay.play(seconds(burstTo - burstFrom), 2.3);
    replay.play(seconds(afterTo - burstTo + 12), 1);
}

/// \brief Compares the others' share in time while the first account sends 7 times its usual of
/// \p rank, and while it does not.
void checkBusyAccount(double factor, int rank)
{
    const auto inTime = [=](double busyFactor) {
        program_replay replay = program_replay::with<dispatched_turns>();
        replay.play(seconds(6), factor);
        replay.play(seconds(12), factor, busyFactor, rank);
        replay.play(seconds(10), factor);
        return replay.inTime(7, 18, rank);
    };
    const double usual = inTime(1);
    const double busy = inTime(7);
    INFO("load ", factor, ", rank ", rank);
    CHECK(busy > usual - 0.02);
}

} // namespace

TEST_SUITE("replay of program dispatch")
{
    TEST_CASE("with a dispatcher, replicas are not overfull and programs recover from a burst")
    {
        program_replay replay = program_replay::with<dispatched_turns>();
        playBurst(replay);
        CHECK(replay.excess() < 0.08);
        CHECK(replay.inTime(beforeFrom, beforeTo) > 0.9);
        CHECK(replay.inTime(afterFrom, afterTo) >= 0.9 * replay.inTime(beforeFrom, beforeTo));
    }

    // The replay is of use only if it shows the faults that the dispatcher is to remove.
    TEST_CASE("with each daemon deciding by its own counts, both targets are missed")
    {
        program_replay replay = program_replay::with<turns_by_daemon>();
        playBurst(replay);
        CHECK(replay.excess() >= 0.08);
        CHECK(replay.inTime(afterFrom, afterTo) < 0.9 * replay.inTime(beforeFrom, beforeTo));
    }

    // Guards against an account that takes the time of all others when it sends too much.
    TEST_CASE("an account at seven times its usual takes little from the others of its rank")
    {
        for (const int rank : {0, 2})
            checkBusyAccount(1, rank);
    }

    // With 1.6 times the usual load, the engines have a seventh of their slots to spare.
    TEST_CASE("a busy account takes little from the others while slots are scarce")
    {
        for (const int rank : {0, 2})
            checkBusyAccount(1.6, rank);
    }
}

} // namespace azurehill::test
