#pragma once

#include "accounts/api_key.h"
#include "core/core.h"

#include <optional>
#include <string>
#include <vector>

namespace azurehill {

using account_id = basic_id<struct account_tag>;

/// \brief How many requests an account may have run, by all daemons together.
struct request_quota
{
    /// Requests a second that are let through without an end.
    double perSecond = 0;
    /// Requests that may come at once beyond that.
    double burst = 0;

    friend bool operator==(const request_quota &, const request_quota &) = default;
};

/// \brief What the configuration says of a client account.
struct account_config
{
    account_id name;
    std::vector<key_digest> keys;
    /// Rank of the account's requests, 0 first; it goes before the route's.
    int priority = 0;
    /// Nothing if the account has no limit.
    std::optional<request_quota> quota;
};

} // namespace azurehill
