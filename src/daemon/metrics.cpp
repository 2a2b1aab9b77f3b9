#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <mutex>
#include <set>
#include <sstream>

namespace azurehill {

namespace {

using prometheus::Histogram;
using histogram_family = prometheus::Family<Histogram>;
using counter_family = prometheus::Family<prometheus::Counter>;

const Histogram::BucketBoundaries programBounds
    = {0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800};
const Histogram::BucketBoundaries callBounds
    = {0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5, 10, 60};
const Histogram::BucketBoundaries tokenBounds = {0, 100, 1000, 10'000, 50'000, 100'000, 400'000};
const Histogram::BucketBoundaries gapBounds(token_gaps::bounds.begin(), token_gaps::bounds.end());

double inSeconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// \brief All measures of one tenant and class.
struct series
{
    Histogram *program;
    Histogram *queueing;
    Histogram *firstToken;
    Histogram *betweenTokens;
    Histogram *commit;
    Histogram *wasted;
    prometheus::Counter *prompt;
};

} // namespace

void token_gaps::add(duration wait, std::size_t tokens)
{
    if (tokens == 0)
        return;
    const double each = inSeconds(wait) / static_cast<double>(tokens);
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), each) - bounds.begin();
    m_counts[static_cast<std::size_t>(bucket)] += static_cast<double>(tokens);
    m_sum += inSeconds(wait);
}

struct metrics::state
{
    histogram_family &histogram(const char *name, const char *help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }
    counter_family &counter(const char *name, const char *help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }
    prometheus::Gauge &gauge(const char *name, const char *help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Labels bounded(const measure_labels &labels)
    {
        const std::lock_guard lock(mutex);
        const auto pair = std::make_pair(labels.tenant.value, labels.programClass);
        if (seen.contains(pair) || seen.size() < maxSeries) {
            seen.insert(pair);
            return {{"tenant", pair.first}, {"class", pair.second}};
        }
        return {{"tenant", "other"}, {"class", "other"}};
    }

    series find(const measure_labels &of)
    {
        const prometheus::Labels labels = bounded(of);
        return {&program.Add(labels, programBounds),
                &queueing.Add(labels, callBounds),
                &firstToken.Add(labels, callBounds),
                &betweenTokens.Add(labels, gapBounds),
                &commit.Add(labels, callBounds),
                &wasted.Add(labels, tokenBounds),
                &prompt.Add(labels)};
    }

    prometheus::Registry registry;
    std::mutex mutex;
    std::set<std::pair<std::string, std::string>> seen;
    histogram_family &program
        = histogram("azurehill_program_latency_seconds",
                    "From the creation of a program to its end, tools and pauses included");
    histogram_family &queueing = histogram("azurehill_queueing_seconds",
                                           "From the arrival of a call to its going upstream");
    histogram_family &firstToken = histogram("azurehill_first_token_seconds",
                                             "From the arrival of a call to its first token");
    histogram_family &betweenTokens
        = histogram("azurehill_between_tokens_seconds", "Time between tokens of one answer");
    histogram_family &commit = histogram("azurehill_commit_seconds",
                                         "From the end of an answer upstream to its being durable");
    histogram_family &wasted = histogram(
        "azurehill_wasted_prompt_tokens",
        "Prompt tokens of a call computed again that an engine had held for its program");
    counter_family &prompt = counter("azurehill_prompt_tokens_total", "Prompt tokens of all calls");
    counter_family &refusals
        = counter("azurehill_refusals_total", "Requests refused, which did not run");
    prometheus::Gauge &programs = gauge("azurehill_programs", "Programs that this daemon holds");
    prometheus::Gauge &streams = gauge("azurehill_open_streams", "Calls under way");
    prometheus::Gauge &members = gauge("azurehill_members", "Daemons in the cell's view");
};

metrics::metrics() : m_state(std::make_unique<state>()) { }
metrics::~metrics() = default;

void metrics::onProgramEnded(const measure_labels &labels, duration latency)
{
    m_state->find(labels).program->Observe(inSeconds(latency));
}

void metrics::onCallDone(const measure_labels &labels, const call_measures &measures)
{
    const series s = m_state->find(labels);
    s.queueing->Observe(inSeconds(measures.queueing));
    s.commit->Observe(inSeconds(measures.commit));
    if (measures.firstToken)
        s.firstToken->Observe(inSeconds(*measures.firstToken));
    const auto &counts = measures.gaps.counts();
    s.betweenTokens->ObserveMultiple({counts.begin(), counts.end()}, measures.gaps.sum());
    s.prompt->Increment(static_cast<double>(measures.promptTokens));
    if (measures.cachedTokens) {
        const std::int64_t held = std::min(measures.heldTokens, measures.promptTokens);
        const std::int64_t wasted = std::max<std::int64_t>(held - *measures.cachedTokens, 0);
        s.wasted->Observe(static_cast<double>(wasted));
    }
}

void metrics::onRefused(const tenant_id &tenant, std::string_view reason)
{
    const prometheus::Labels labels = m_state->bounded({tenant, {}});
    m_state->refusals.Add({{"tenant", labels.at("tenant")}, {"reason", std::string(reason)}})
        .Increment();
}

std::string metrics::toText(const state_gauges &gauges)
{
    m_state->programs.Set(static_cast<double>(gauges.programs));
    m_state->streams.Set(static_cast<double>(gauges.openStreams));
    m_state->members.Set(static_cast<double>(gauges.members));
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_state->registry.Collect());
    return text.str();
}

} // namespace azurehill
