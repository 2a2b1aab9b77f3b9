#include "entry/entry_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

namespace azurehill {

namespace {

/// Histogram buckets in seconds, from the time of a store's answer to the longest time that a
/// client waits.
const prometheus::Histogram::BucketBoundaries bounds
    = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8};

/// Histogram buckets in seconds; few, since there are hundreds of accounts.
const prometheus::Histogram::BucketBoundaries accountBuckets = {0.05, 0.25, 1, 4};

/// Maximum number of causes with a label of their own; further ones are counted as "other", since
/// some carry the text of a library's error.
constexpr std::size_t maxCauseLabels = 64;

} // namespace

struct entry_metrics::state
{
    state()
        : phases(prometheus::BuildHistogram()
                     .Name("azurehill_request_phase_seconds")
                     .Help("Time that a step of a request took.")
                     .Register(registry)),
          answers(prometheus::BuildCounter()
                      .Name("azurehill_answers_total")
                      .Help("Requests by the kind of their answer and its cause.")
                      .Register(registry)),
          sends(prometheus::BuildCounter()
                    .Name("azurehill_sends_total")
                    .Help("Sends to replicas by how they ended.")
                    .Register(registry)),
          slots(prometheus::BuildCounter()
                    .Name("azurehill_slots_total")
                    .Help("Requests for an engine slot by the dispatcher's answer.")
                    .Register(registry)),
          accounts(prometheus::BuildHistogram()
                       .Name("azurehill_account_request_seconds")
                       .Help("Time that requests of a client account took, by who answered.")
                       .Register(registry)),
          gauges(prometheus::BuildGauge()
                     .Name("azurehill_state")
                     .Help("What the daemon believes at present.")
                     .Register(registry))
    { }

    static std::string bounded(std::set<std::string> &names, std::string name, std::size_t maxNames)
    {
        if (names.contains(name))
            return name;
        if (names.size() >= maxNames)
            return "other";
        names.insert(name);
        return name;
    }

    void setGauge(const char *what, double value) { gauges.Add({{"what", what}}).Set(value); }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &phases;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &sends;
    prometheus::Family<prometheus::Counter> &slots;
    prometheus::Family<prometheus::Histogram> &accounts;
    prometheus::Family<prometheus::Gauge> &gauges;
    std::mutex mutex;
    std::set<std::string> routes;
    std::set<std::string> causes;
    std::set<std::string> accountNames;
};

entry_metrics::entry_metrics() : m_state(std::make_unique<state>()) { }
entry_metrics::~entry_metrics() = default;

void entry_metrics::onPhase(const std::string &route, request_phase phase, duration time)
{
    const std::lock_guard lock(m_state->mutex);
    const std::string name = state::bounded(m_state->routes, route, maxRoutes);
    m_state->phases.Add({{"route", name}, {"phase", std::string(toName(phase))}}, bounds)
        .Observe(std::chrono::duration<double>(time).count());
}

void entry_metrics::onAnswer(std::string_view answer, std::string_view cause)
{
    const std::lock_guard lock(m_state->mutex);
    const std::string name = state::bounded(m_state->causes, std::string(cause), maxCauseLabels);
    m_state->answers.Add({{"answer", std::string(answer)}, {"cause", name}}).Increment();
}

void entry_metrics::onAccount(const std::string &name, bool isLocalReply, duration time)
{
    const std::lock_guard lock(m_state->mutex);
    const std::string account = state::bounded(m_state->accountNames, name, maxAccounts);
    m_state->accounts
        .Add({{"account", account}, {"answer", isLocalReply ? "own" : "replica"}}, accountBuckets)
        .Observe(std::chrono::duration<double>(time).count());
}

void entry_metrics::onSend(std::string_view end)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->sends.Add({{"end", std::string(end)}}).Increment();
}

void entry_metrics::onSlot(std::string_view result)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->slots.Add({{"result", std::string(result)}}).Increment();
}

void entry_metrics::setDispatcherLoad(const dispatcher_gauges &load)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->setGauge("dispatch_first_queued", load.queuedFirstTurns);
    m_state->setGauge("dispatch_later_queued", load.queuedLaterTurns);
    m_state->setGauge("dispatch_in_flight", load.inFlight);
    m_state->setGauge("dispatch_slots", load.slots);
    m_state->setGauge("dispatch_programs", load.programs);
}

void entry_metrics::setEjectedReplicas(int count)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->setGauge("doubted_replicas", count);
}

void entry_metrics::setQuarantinedRequests(std::size_t count)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->setGauge("quarantined_requests", double(count));
}

std::string entry_metrics::toText(const entry_gauges &g)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->setGauge("members", g.members);
    m_state->setGauge("replicas", g.replicas);
    m_state->setGauge("draining_replicas", g.drainingReplicas);
    m_state->setGauge("config_version", double(g.configVersion));
    m_state->setGauge("store_reachable", g.storeReachable ? 1 : 0);
    m_state->setGauge("store_age_seconds", std::chrono::duration<double>(g.storeAge).count());
    m_state->setGauge("log_lines_dropped", double(g.logLinesDropped));
    return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

} // namespace azurehill
