#pragma once

#include "accounts/account_config.h"

namespace azurehill {

/// \brief What the platform allows beyond the accounts' own limits.
struct quota_bound
{
    /// In any span of this length the bound holds.
    duration window = seconds(5);
    /// Part of the limit that may be exceeded.
    double overage = 0.1;
    /// Requests that may come on top of that.
    double slack = 20;
};

/// \returns the most credits of \p quota that may be used in a window: the limit, and what of the
/// platform's allowance is not kept back for requests that are sent twice.
int maxCreditsPerWindow(const request_quota &quota, const quota_bound &bound);

} // namespace azurehill
