#include "quota/quota_bound.h"

#include <algorithm>
#include <limits>

namespace azurehill {

namespace {

/// Fraction of the platform's allowance above the limit that is lent as credits. The rest is kept
/// for requests that are sent twice.
constexpr double lendableAllowanceFraction = 0.6;

} // namespace

int maxCreditsPerWindow(const request_quota &quota, const quota_bound &bound)
{
    const double span = std::chrono::duration<double>(bound.window).count();
    const double limit = quota.perSecond * span + quota.burst;
    const double maxCredits = limit * (1 + lendableAllowanceFraction * bound.overage)
        + lendableAllowanceFraction * bound.slack;
    return static_cast<int>(std::min(maxCredits, double(std::numeric_limits<int>::max())));
}

} // namespace azurehill
