#pragma once

#include "core/core.h"
#include "program/refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief A call's number at one scheduler.
using call_number = std::uint64_t;
/// \brief Hash that names the beginning of a prompt.
using prefix_key = std::uint64_t;

/// \brief A call that waits for a replica or is under way.
struct pending_call
{
    call_number number = 0;
    program_id program;
    tenant_id tenant;
    std::string service;
    std::int64_t promptTokens = 0;
    /// A beginning that other programs use as well, such as a club's context; 0 for none.
    prefix_key sharedPrefix = 0;
    std::int64_t sharedTokens = 0;
    /// Product of the weights of the tenant and the class.
    double weight = 1;
    std::optional<time_point> deadline;
    /// A replica that failed the call before, or an empty id.
    upstream_id excludedReplica;
};

/// \brief How a call ended, as far as the choice of replicas is concerned.
struct call_result
{
    /// Nothing for a good end.
    std::optional<outcome> failed;
    /// Tokens of the prompt that the engine had in its cache, if it said so.
    std::optional<std::int64_t> cachedTokens;
    std::int64_t outputTokens = 0;
    /// The replica said that it is leaving.
    bool refusedAsLeaving = false;
};

/// \brief Send the call to \a replica now.
struct dispatch_call
{
    call_number number = 0;
    upstream_id replica;
    /// The engine serves lower numbers first: milliseconds of the scheduler's own order.
    std::int64_t priority = 0;
};
/// \brief Answer the caller now: the call did not run.
struct refuse_call
{
    call_number number = 0;
    refusal_reason reason = refusal_reason::Overloaded;
    duration retryAfter = seconds(1);
};
/// \brief Let the engine drop what it cached for an ended program.
struct release_prefix
{
    upstream_id replica;
    prefix_key prefix = 0;
};

using sched_action = std::variant<dispatch_call, refuse_call, release_prefix>;

} // namespace azurehill
