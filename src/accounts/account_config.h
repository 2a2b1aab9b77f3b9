#pragma once

#include "accounts/api_key.h"
#include "core/core.h"

#include <optional>
#include <string>
#include <vector>

namespace azurehill {

using account_id = basic_id<struct account_tag>;

/// \brief Request rate limit of an account, over all daemons together: a sustained rate and a
/// burst.
struct request_quota
{
    /// Sustained rate in requests per second.
    double perSecond = 0;
    /// Requests that are admitted at once beyond the sustained rate.
    double burst = 0;

    friend bool operator==(const request_quota &, const request_quota &) = default;
};

/// \brief Configuration of a client account.
struct account_config
{
    account_id name;
    std::vector<key_digest> keys;
    /// Priority of the account's requests, 0 is the highest. Requests are ordered by it first, then
    /// by the priority of their route.
    int priority = 0;
    /// Empty if the account has no request limit.
    std::optional<request_quota> quota;
};

} // namespace azurehill
