#include "entry/request_rank.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Least urgent priority that a replica knows.
constexpr int lowestUrgency = 9;
/// Number of route priorities that are distinguished within one account priority, by replicas and
/// by this daemon.
constexpr int routeUrgencies = 3;
constexpr int routeRanks = 1000;

} // namespace

request_rank rankOf(const account_config *account, const route_rule &route)
{
    const int routePriority = std::max(0, route.priority);
    if (!account)
        return {routePriority, std::min(routePriority, lowestUrgency)};
    const int accountPriority = std::clamp(account->priority, 0, routeRanks);
    return {accountPriority * routeRanks + std::min(routePriority, routeRanks - 1),
            std::min(accountPriority * routeUrgencies + std::min(routePriority, routeUrgencies - 1),
                     lowestUrgency)};
}

} // namespace azurehill
