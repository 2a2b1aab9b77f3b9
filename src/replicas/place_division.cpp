#include "replicas/place_division.h"

#include <algorithm>
#include <numeric>

namespace azurehill {

namespace {

/// Share of the places that is divided evenly even where places are short: a daemon whose callers
/// have only just come has some before the others have heard of it, two or three rounds of gossip
/// later.
constexpr double evenShare = 0.1;

/// Weight of the word of a daemon without requests, in requests.
constexpr double leastWeight = 1;

} // namespace

double placePart(place_demand own, std::span<const place_word> others, double places)
{
    const double even = 1 / double(1 + others.size());
    const double all
        = std::accumulate(others.begin(), others.end(), own,
                          [](double sum, const place_word &w) { return sum + w.wanted; });
    if (all <= 0 || places <= 0)
        return even;
    const double unwanted = std::max(evenShare, 1 - all / places);
    return unwanted * even + (1 - unwanted) * own / all;
}

double agreedPerReplica(const place_word &own, std::span<const place_word> others)
{
    double sum = 0;
    double weights = 0;
    const auto add = [&](const place_word &word) {
        if (word.perReplica <= 0)
            return;
        // Who has more requests there has seen more answers.
        const double weight = leastWeight + word.wanted;
        sum += weight * word.perReplica;
        weights += weight;
    };
    add(own);
    std::for_each(others.begin(), others.end(), add);
    return weights > 0 ? sum / weights : 0;
}

} // namespace azurehill
