#pragma once

#include "core/core.h"
#include "program/refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace azurehill {

/// \brief Number of a call, unique within one scheduler.
using call_number = std::uint64_t;
/// \brief Hash that identifies a prefix of a prompt.
using prefix_key = std::uint64_t;

/// \brief A call that is queued or in progress at a replica.
struct pending_call
{
    call_number number = 0;
    program_id program;
    tenant_id tenant;
    std::string service;
    std::int64_t promptTokens = 0;
    /// Prefix shared with other programs, such as a common context; 0 for none.
    prefix_key sharedPrefix = 0;
    std::int64_t sharedTokens = 0;
    /// Product of the weights of the tenant and the class.
    double weight = 1;
    std::optional<time_point> deadline;
    /// Replica at which the call failed before; empty for none.
    upstream_id excludedReplica;
};

/// \brief Result of a call, with what the scheduler needs to know of it.
struct call_result
{
    /// Empty if the call succeeded.
    std::optional<outcome> failed;
    /// Prompt tokens that the engine had in its prefix cache, if it reported them.
    std::optional<std::int64_t> cachedTokens;
    std::int64_t outputTokens = 0;
    /// The replica refused the call because it is shutting down.
    bool refusedAsLeaving = false;
};

/// \brief Action: send the call to \a replica now.
struct dispatch_call
{
    call_number number = 0;
    upstream_id replica;
    /// The engine serves lower values first. This is the queue order of the scheduler in
    /// milliseconds.
    std::int64_t priority = 0;
};
/// \brief Action: respond to the caller now that the call did not run.
struct refuse_call
{
    call_number number = 0;
    refusal_reason reason = refusal_reason::Overloaded;
    duration retryAfter = seconds(1);
};
/// \brief Action: tell the engine to drop the cached prefix of a program that has ended.
struct release_prefix
{
    upstream_id replica;
    prefix_key prefix = 0;
};

using sched_action = std::variant<dispatch_call, refuse_call, release_prefix>;

} // namespace azurehill
