#pragma once

#include "core/enum_names.h"
#include "core/runtime_clock.h"

#include <optional>
#include <string>

namespace azurehill {

/// \brief Why a request is rejected. For each of these reasons the call did not run.
enum class refusal_reason {
    UnknownProgram,
    ProgramEnded,
    TurnOutOfOrder,
    KeyReused,
    BudgetExhausted,
    DeadlinePassed,
    TooManyTurns,
    NotOwner,
    StoreUnavailable,
    Overloaded,
    NoUpstream,
    Draining,
    /// As many replicas as may end under a call may have ended under it.
    ReplicasInDoubt,
    /// As many have ended.
    Quarantined
};

template <>
struct enum_names<refusal_reason>
{
    static constexpr std::array<std::string_view, 14> names
        = {"unknown-program",   "program-ended",   "turn-out-of-order", "key-reused",
           "budget-exhausted",  "deadline-passed", "too-many-turns",    "not-owner",
           "store-unavailable", "overloaded",      "no-upstream",       "draining",
           "replicas-in-doubt", "quarantined"};
};

struct refusal
{
    refusal_reason reason = refusal_reason::UnknownProgram;
    std::string detail;
    /// Delay after which a retry may succeed.
    std::optional<duration> retryAfter;
};

} // namespace azurehill
