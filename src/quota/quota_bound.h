#pragma once

#include "accounts/account_config.h"

namespace azurehill {

/// \brief Tolerance of quota enforcement: how far the platform lets the requests of an account in a
/// window exceed the account's own limit.
struct quota_bound
{
    /// Length of the sliding window for which the bound holds.
    duration window = seconds(5);
    /// Allowed excess as a fraction of the limit.
    double overage = 0.1;
    /// Allowed excess in requests, in addition to \c overage.
    double slack = 20;
};

/// \returns the maximum number of credits of \p quota that may be used in a window: the limit, and
/// the part of the platform's allowance that is not kept for requests that are sent twice.
int maxCreditsPerWindow(const request_quota &quota, const quota_bound &bound);

} // namespace azurehill
