#pragma once

#include "policy_run.h"

namespace azurehill::bench {

inline std::vector<std::pair<program_shape, bool>> drawPrograms(const run_case &c,
                                                                std::uint64_t seed)
{
    const engine_traits traits;
    std::vector<std::pair<program_shape, bool>> all;
    // Offers work until the case's share of what the replicas can do is reached.
    const auto offer
        = [&](double share, int replicas, int tenant, int dataCentre, std::uint64_t s) {
              workload_source source(s);
              const double wanted = share * replicas * arrivalSeconds;
              for (double work = 0; work < wanted;) {
                  const int daemon = dataCentre < 0
                      ? source.uniform(daemonCount)
                      : dataCentre + dataCentres * source.uniform(daemonCount / dataCentres);
                  const int t = tenant < 0 ? source.uniform(tenantCount) : tenant;
                  const double arrival = source.uniform(1'000'000) * arrivalSeconds / 1e6;
                  all.emplace_back(source.draw(arrival, t, daemon), tenant >= 0);
                  work += serviceOf(all.back().first, traits);
              }
          };
    for (std::size_t d = 0; d < c.loads.size(); ++d)
        offer(c.loads[d], replicasPerDataCentre, -1, int(d), seed * 100 + d);
    if (c.loads.empty())
        offer(c.load, replicaCount, -1, -1, seed);
    if (c.flood > 0)
        offer(c.flood, replicaCount, 0, -1, seed + 1000);
    if (c.onlyTenant >= 0)
        std::erase_if(all, [&](const auto &p) { return p.first.tenant != c.onlyTenant; });
    return all;
}

inline policy_run::policy_run(const run_case &c, policy_name policy,
                              const scheduler_parameters &knobs, std::uint64_t seed)
    : m_case(c), m_programs(drawPrograms(c, seed)), m_engines(replicaCount),
      m_alive(replicaCount, true), m_random(seed + 77)
{
    for (int d = 0; d < daemonCount; ++d) {
        const data_centre_id here{"dc" + std::to_string(d % dataCentres)};
        const std::uint64_t s = seed * 1000 + std::uint64_t(d);
        switch (policy) {
        case policy_name::RoundRobin:
            m_policies.emplace_back(round_robin(here, std::size_t(d) * 7));
            break;
        case policy_name::LeastLoaded:
            m_policies.emplace_back(least_loaded(here, s));
            break;
        case policy_name::Sticky:
            m_policies.emplace_back(sticky(here));
            break;
        case policy_name::Azurehill:
            m_policies.emplace_back(scheduler(knobs, here, s));
            break;
        }
        with(d, [&](auto &p) { p.setReplicas(listed(), at(0)); });
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        m_engineIndex[{"r" + std::to_string(i)}] = i;
}

inline std::vector<replica> policy_run::listed() const
{
    std::vector<replica> all;
    for (int i = 0; i < replicaCount; ++i) {
        if (m_alive[std::size_t(i)])
            all.push_back({{"r" + std::to_string(i)},
                           "model",
                           {"dc" + std::to_string(i % dataCentres)},
                           "",
                           false,
                           0});
    }
    return all;
}

inline run_result policy_run::run()
{
    for (auto &[shape, flooding] : m_programs) {
        auto state = std::make_unique<program_state>();
        state->shape = &shape;
        state->id = {"p" + std::to_string(m_states.size())};
        state->daemon = shape.daemon;
        state->arrival = shape.arrival;
        state->result = m_result.programs.size();
        program_result r;
        r.tenant = shape.tenant;
        r.dataCentre = shape.daemon % dataCentres;
        r.deadline = shape.traits().deadlineSeconds;
        r.service = serviceOf(shape, m_engines[0].traits);
        r.flooding = flooding;
        m_result.programs.push_back(r);
        later(shape.arrival, [this, p = state.get()] { arrive(p); });
        m_states.push_back(std::move(state));
    }
    m_open = m_states.size();
    if (m_case.loseDataCentre)
        later(arrivalSeconds / 3, [this] { loseDataCentre(); });
    if (m_case.slowReplica > 1)
        later(arrivalSeconds / 3, [this] { m_engines[0].slowness = m_case.slowReplica; });
    report();
    while (m_open > 0 && m_now < longestRun) {
        const double end = m_now + stepSeconds;
        while (!m_events.empty() && m_events.top().at <= end) {
            const event e = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, e.at);
            e.act();
        }
        m_now = end;
        for (engine_model &engine : m_engines) {
            for (const engine_call &c : engine.step(stepSeconds))
                ended(c);
        }
    }
    for (program_result &r : m_result.programs) {
        if (!r.finished && !r.refused)
            r.latency = longestRun;
    }
    m_result.seconds = m_now;
    return std::move(m_result);
}

inline program_request policy_run::requestOf(const program_state &p) const
{
    program_request r;
    r.program = p.id;
    r.tenant = {"t" + std::to_string(p.shape->tenant)};
    r.programClass = toName(p.shape->kind);
    r.service = "model";
    r.limit = at(p.shape->traits().deadlineSeconds) - at(0);
    return r;
}

inline void policy_run::arrive(program_state *p)
{
    const program_request request = requestOf(*p);
    const auto again
        = with(p->daemon, [&](auto &d) { return d.refuseProgram(request, at(m_now)); });
    if (!again) {
        with(p->daemon, [&](auto &d) { d.startProgram(request, at(m_now)); });
        startTurn(p);
        return;
    }
    ++m_result.refusals;
    if (++p->comeBacks <= mostComeBacks) {
        later(std::chrono::duration<double>(*again).count(), [this, p] { arrive(p); });
        return;
    }
    m_result.programs[p->result].refused = true;
    --m_open;
}

inline void policy_run::startTurn(program_state *p)
{
    pending_call call;
    call.program = p->id;
    call.tenant = {"t" + std::to_string(p->shape->tenant)};
    call.service = "model";
    call.sharedPrefix = p->shape->club ? stableHash("club" + std::to_string(p->shape->club)) : 0;
    call.sharedTokens = p->shape->sharedTokens();
    if (p->turn == 0)
        p->history = call.sharedTokens;
    call.promptTokens = p->history + p->shape->turns[p->turn].newTokens;
    submit(p, std::move(call));
}

inline void policy_run::submit(program_state *p, pending_call call)
{
    call.number = ++m_number;
    ++m_result.calls;
    m_calls[call.number] = {p, call};
    with(p->daemon, [&](auto &d) { d.submit(call, at(m_now)); });
    perform(p->daemon);
}

inline void policy_run::perform(int daemon)
{
    const auto actions = with(daemon, [](auto &d) { return d.takeActions(); });
    for (const sched_action &action : actions) {
        if (const auto *dispatch = std::get_if<dispatch_call>(&action))
            toEngine(daemon, *dispatch);
        else if (const auto *refuse = std::get_if<refuse_call>(&action))
            refused(daemon, *refuse);
        else if (const auto *release = std::get_if<release_prefix>(&action))
            m_engines[m_engineIndex[release->replica]].release(release->prefix);
    }
}

inline void policy_run::refused(int daemon, const refuse_call &action)
{
    const open_call open = m_calls.at(action.number);
    m_calls.erase(action.number);
    later(std::chrono::duration<double>(action.retryAfter).count(),
          [this, open] { submit(open.program, open.call); });
    (void)daemon;
}

inline void policy_run::toEngine(int daemon, const dispatch_call &action)
{
    const open_call &open = m_calls.at(action.number);
    engine_call c;
    c.number = action.number;
    c.daemon = daemon;
    c.priority = action.priority;
    c.program = stableHash(open.program->id.value);
    c.shared = open.call.sharedPrefix;
    c.sharedTokens = open.call.sharedTokens;
    c.promptTokens = open.call.promptTokens;
    c.outputTokens = open.program->shape->turns[open.program->turn].outputTokens;
    const std::size_t engine = m_engineIndex[action.replica];
    const bool isNear = int(engine) % dataCentres == daemon % dataCentres;
    later(isNear ? 0.0005 : 0.0015, [this, c, engine] {
        if (m_alive[engine])
            m_engines[engine].add(c);
        else
            failed(c, outcome::DidNotRun);
    });
}

inline void policy_run::failed(const engine_call &c, outcome how)
{
    const open_call open = m_calls.at(c.number);
    m_calls.erase(c.number);
    call_result end;
    end.failed = how;
    with(c.daemon, [&](auto &d) { d.onEnd(c.number, end, at(m_now)); });
    perform(c.daemon);
    later(retryDelay, [this, open] { submit(open.program, open.call); });
}

inline void policy_run::ended(const engine_call &c)
{
    program_state *p = m_calls.at(c.number).program;
    m_calls.erase(c.number);
    m_result.promptTokens += c.promptTokens;
    m_result.wastedTokens
        += std::max<std::int64_t>(0, std::min(p->heldSomewhere, c.promptTokens) - c.cachedTokens);
    p->history = c.promptTokens + c.outputTokens;
    p->heldSomewhere = p->history;
    call_result end;
    end.cachedTokens = c.cachedTokens;
    end.outputTokens = c.outputTokens;
    with(c.daemon, [&](auto &d) { d.onEnd(c.number, end, at(m_now)); });
    turnDone(p);
    perform(c.daemon);
}

inline void policy_run::turnDone(program_state *p)
{
    const turn_shape &turn = p->shape->turns[p->turn];
    if (++p->turn == p->shape->turns.size()) {
        finish(p);
        return;
    }
    p->waitingFor = 1 + int(turn.subAgents.size());
    later(turn.pauseSeconds, [this, p] { partDone(p); });
    for (const program_shape &shape : turn.subAgents) {
        auto child = std::make_unique<program_state>();
        child->shape = &shape;
        child->id = {p->id.value + "." + std::to_string(p->children++)};
        child->daemon = p->daemon;
        child->parent = p;
        with(p->daemon, [&](auto &d) { d.startProgram(requestOf(*child), at(m_now)); });
        startTurn(child.get());
        m_states.push_back(std::move(child));
    }
}

inline void policy_run::partDone(program_state *p)
{
    if (--p->waitingFor == 0)
        startTurn(p);
}

inline void policy_run::finish(program_state *p)
{
    with(p->daemon, [&](auto &d) { d.endProgram(p->id, at(m_now)); });
    perform(p->daemon);
    if (p->parent) {
        partDone(p->parent);
        return;
    }
    program_result &r = m_result.programs[p->result];
    r.finished = true;
    r.latency = m_now - p->arrival;
    --m_open;
}

inline void policy_run::report()
{
    std::vector<std::pair<upstream_id, load_report>> reports;
    for (const auto &[id, i] : m_engineIndex) {
        if (m_alive[i])
            reports.emplace_back(id, m_engines[i].report(at(m_now)));
        for (const cache_event &e : m_engines[i].takeEvents()) {
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < eventLoss)
                continue;
            later(eventDelay, [this, id = id, e] {
                for (int d = 0; d < daemonCount; ++d)
                    with(d, [&](auto &p) { p.onCacheEvent(id, e, at(m_now)); });
            });
        }
    }
    later(m_case.reportDelay, [this, reports] {
        for (int d = 0; d < daemonCount; ++d) {
            with(d, [&](auto &p) {
                for (const auto &[id, r] : reports)
                    p.onReport(id, r, at(m_now));
                p.onTick(at(m_now));
            });
            perform(d);
        }
    });
    later(reportInterval, [this] { report(); });
}

inline void policy_run::loseDataCentre()
{
    for (std::size_t i = 0; i < m_engines.size(); i += dataCentres)
        m_alive[i] = false;
    for (std::size_t i = 0; i < m_engines.size(); i += dataCentres) {
        for (const engine_call &c : m_engines[i].die())
            failed(c, outcome::Unknown);
    }
    later(listLag, [this] {
        for (int d = 0; d < daemonCount; ++d) {
            with(d, [&](auto &p) { p.setReplicas(listed(), at(m_now)); });
            perform(d);
        }
    });
}

} // namespace azurehill::bench
