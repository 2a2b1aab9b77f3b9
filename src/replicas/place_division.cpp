#include "replicas/place_division.h"

#include <algorithm>
#include <numeric>

namespace azurehill {

namespace {

/// Share of the places that is divided evenly even where places are short: a daemon whose callers
/// have only just come has some before the others have heard of it, three to five rounds of gossip
/// later.
constexpr double minEvenFraction = 0.1;

/// One daemon's demand counts up to so many times all places: a false word must not take the places
/// of all others.
constexpr double maxDemandFactor = 4;

/// Weight of the word of a daemon without requests at the engines, in requests.
constexpr double minReportWeight = 1;

/// \returns the mean of \p member over the words that have it, by the requests that are behind
/// each.
double weightedMean(double concurrency_report::*member, const concurrency_report &own,
                    const concurrency_report_sample &others)
{
    double sum = 0;
    double weights = 0;
    const auto add = [&](const concurrency_report &word) {
        if (word.*member <= 0)
            return;
        // Those that wait have seen nothing of the engines.
        const double weight = minReportWeight + word.inside;
        sum += weight * (word.*member);
        weights += weight;
    };
    add(own);
    std::for_each(others.heard.begin(), others.heard.end(), add);
    return weights > 0 ? sum / weights : 0;
}

} // namespace

double concurrencyShare(request_demand own, const concurrency_report_sample &others, double places)
{
    const double even = 1 / double(1 + others.others);
    const bool isAnyHeard = !others.heard.empty() || others.others == 0;
    if (places <= 0 || !isAnyHeard)
        return even;
    const double most = maxDemandFactor * places;
    own = std::min(own, most);
    const double heard = std::accumulate(
        others.heard.begin(), others.heard.end(), 0.0,
        [&](double sum, const concurrency_report &w) { return sum + std::min(w.wanted, most); });
    const double daemonsPerWord
        = double(others.others) / double(std::max<std::size_t>(1, others.heard.size()));
    const double all = own + heard * daemonsPerWord;
    if (all <= 0)
        return even;
    const double unwanted = std::max(minEvenFraction, 1 - all / places);
    return unwanted * even + (1 - unwanted) * own / all;
}

double mergedLimitPerReplica(const concurrency_report &own, const concurrency_report_sample &others)
{
    return weightedMean(&concurrency_report::perReplica, own, others);
}

double mergedInflation(const concurrency_report &own, const concurrency_report_sample &others)
{
    return weightedMean(&concurrency_report::inflation, own, others);
}

} // namespace azurehill
