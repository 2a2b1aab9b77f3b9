#include "quota/quota_bound.h"

#include <algorithm>
#include <limits>

namespace azurehill {

namespace {

/// Part of the platform's allowance that is lent.
constexpr double lendableAllowanceFraction = 0.6;

} // namespace

int maxCreditsPerWindow(const request_quota &quota, const quota_bound &bound)
{
    const double span = std::chrono::duration<double>(bound.window).count();
    const double limit = quota.perSecond * span + quota.burst;
    const double most = limit * (1 + lendableAllowanceFraction * bound.overage)
        + lendableAllowanceFraction * bound.slack;
    return static_cast<int>(std::min(most, double(std::numeric_limits<int>::max())));
}

} // namespace azurehill
