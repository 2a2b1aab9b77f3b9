#include "replicas/place_division.h"

#include <numeric>

namespace azurehill {

namespace {

/// Share of the places that is divided evenly: a daemon whose callers have only just come has
/// places before the others have heard of its demand, which takes two or three rounds of gossip.
constexpr double evenShare = 1.0 / 3;

} // namespace

double placePart(place_demand own, std::span<const place_word> others)
{
    const double even = 1 / double(1 + others.size());
    const double all
        = std::accumulate(others.begin(), others.end(), own,
                          [](double sum, const place_word &w) { return sum + w.wanted; });
    if (all <= 0)
        return even;
    return evenShare * even + (1 - evenShare) * own / all;
}

double agreedPerReplica(const place_word &own, std::span<const place_word> /*others*/)
{
    return own.perReplica;
}

} // namespace azurehill
