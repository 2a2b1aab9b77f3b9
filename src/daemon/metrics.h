#pragma once

#include "core/ids.h"
#include "core/runtime_clock.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief Counts the time between tokens of one call. It is the runner's own, so that a token costs
/// neither a lock nor a look-up; a call's counts are merged once, at its end.
class token_gaps
{
public:
    /// Upper bounds of the buckets in seconds; the last bucket has none.
    static constexpr std::array<double, 9> bounds
        = {0.001, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.5, 2};

    /// \brief Counts \p tokens that came together, \p wait after those before them.
    void add(duration wait, std::size_t tokens);

    const std::array<double, bounds.size() + 1> &counts() const { return m_counts; }
    double sum() const { return m_sum; }

private:
    std::array<double, bounds.size() + 1> m_counts{};
    double m_sum = 0;
};

/// \brief Whom a measure is counted for.
struct measure_labels
{
    tenant_id tenant;
    std::string programClass;
};

/// \brief What one finished model call measured.
struct call_measures
{
    duration queueing{};
    std::optional<duration> firstToken;
    token_gaps gaps;
    /// From the answer's end to its being durable.
    duration commit{};
    std::int64_t promptTokens = 0;
    /// Prompt tokens that the engine says it had in its cache, if it says so.
    std::optional<std::int64_t> cachedTokens;
    /// Tokens of the program that some engine had computed before this call.
    std::int64_t heldTokens = 0;
};

/// \brief What is read from the daemon's state at the time of a report.
struct state_gauges
{
    std::size_t programs = 0;
    std::size_t openStreams = 0;
    std::size_t members = 0;
};

/// \brief The daemon's histograms and counters. All functions may be called from any thread.
class metrics
{
public:
    /// Most pairs of tenant and class that are told apart; later ones are counted as "other", so
    /// that a flood of names can't take the daemon's memory.
    static constexpr std::size_t maxSeries = 512;

    metrics();
    ~metrics();

    void onProgramEnded(const measure_labels &labels, duration latency);
    void onCallDone(const measure_labels &labels, const call_measures &measures);
    void onRefused(const tenant_id &tenant, std::string_view reason);

    /// \returns all of them in Prometheus' text format.
    std::string toText(const state_gauges &gauges);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace azurehill
