#pragma once

#include "accounts/account_config.h"
#include "routes/routes.h"

namespace azurehill {

/// \brief How urgent a request is, by its account and its route.
struct request_rank
{
    /// Place in the order of those that wait here, 0 first.
    int order = 0;
    /// Urgency at a replica, from 0 (first) to 9.
    int urgency = 0;
};

/// \returns the rank of requests of \p account, which may be null, on \p route. The account's
/// priority goes before the route's.
request_rank rankOf(const account_config *account, const route_rule &route);

} // namespace azurehill
