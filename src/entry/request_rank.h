#pragma once

#include "accounts/account_config.h"
#include "routes/routes.h"

namespace azurehill {

/// \brief Priority of a request, by its account and its route.
struct request_rank
{
    /// Rank in the queues of this daemon; 0 is the most urgent.
    int order = 0;
    /// Priority at a replica, from 0 (most urgent) to 9.
    int urgency = 0;
};

/// \returns the rank of requests of \p account, which may be null, on \p route. The account's
/// priority takes precedence over the route's.
request_rank rankOf(const account_config *account, const route_rule &route);

} // namespace azurehill
