#pragma once

#include "accounts/accounts.h"
#include "core/core.h"
#include "http/http_message.h"
#include "replicas/replica_load_balancer.h"
#include "turns/turn.h"

#include <optional>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Tokens that a model request says it needs.
struct token_demand
{
    std::int64_t prompt = 0;
    /// Most tokens that the answer may have.
    std::int64_t maxOutputTokens = 0;
};

/// \brief A client's request as far as the daemon acts on it.
struct client_request
{
    /// Id of this attempt; another attempt at the same has another id.
    std::string id;
    std::string hostname;
    /// How long the client waits from now on.
    std::optional<duration> patience;
    /// Whose request it is, as far as it says.
    credential key;
    /// Names the object that the request is about, or empty.
    std::string affinityKey;
    program_id program;
    /// The line of turns within the program that the request belongs to, or empty.
    std::string session;
    /// Time until the program should be finished.
    std::optional<duration> programTimeLeft;
    /// Tokens that all turns of the program may generate.
    std::optional<std::int64_t> tokenBudget;
    std::optional<token_demand> tokens;
    std::vector<prompt_part> promptParts;
    /// The turn that this one continues from, or empty.
    turn_id previousTurn;
    /// The last event that the client has of a stream that it goes on with, or empty.
    std::string lastEventId;
};

/// \brief What the daemon adds to a request on its way to a replica.
struct forward_headers
{
    upstream_id replica;
    /// Time after which the client no longer waits.
    duration timeLeft = duration::zero();
    /// Urgency for the replica, 0 first.
    int urgency = 5;
    /// Whether accounts are in force: the client's key then stays here.
    bool stripsClientKey = false;
    /// The account that the request belongs to, or empty.
    account_id account;
    /// The last event that the client has, if the stream goes on after it; empty for a new stream,
    /// or one that the client itself goes on with.
    std::string lastEventId;
};

/// \brief What a replica's response head says.
enum class reply_kind {
    /// The replica's own answer, good or bad.
    Answer,
    /// The replica did not run the request and never will.
    NotRun,
    /// As NotRun, and another replica has the address.
    WrongReplica,
    /// The head belongs to another request, or is not the replica's own.
    Foreign,
};

template <>
struct enum_names<reply_kind>
{
    static constexpr std::array<std::string_view, 4> names
        = {"answer", "not_run", "wrong_replica", "foreign"};
};

/// \brief An answer of the daemon's own in place of a replica's.
enum class local_reply {
    NoRoute,
    /// The request's key is missing or unknown.
    NoAccess,
    NoSuchTurn,
    BudgetSpent,
    Malformed,
    TooLarge,
    /// Not run, and never will be.
    Refused,
    /// As Refused, since the account asks for more than its quota.
    OverQuota,
    /// May have run.
    Broken,
    /// May have run; the time is over.
    TimedOut,
};

template <>
struct enum_names<local_reply>
{
    static constexpr std::array<std::string_view, 10> names
        = {"no_route",  "no_access", "no_such_turn", "budget_spent", "malformed",
           "too_large", "refused",   "over_quota",   "broken",       "timed_out"};
};

} // namespace azurehill
