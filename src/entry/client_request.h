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

/// \brief Tokens that a model request declares.
struct token_demand
{
    std::int64_t prompt = 0;
    /// Maximum number of tokens of the answer.
    std::int64_t maxOutputTokens = 0;
};

/// \brief The fields of a client's request that the daemon uses.
struct client_request
{
    /// Id of this attempt; a retry of the same request has another id.
    std::string id;
    std::string hostname;
    /// How long the client still waits.
    std::optional<duration> clientTimeout;
    /// Credential that the request presents.
    credential key;
    /// Affinity key: names the object that the request is about, or empty.
    std::string affinityKey;
    program_id program;
    /// The sequence of turns within the program that the request belongs to, or empty.
    std::string session;
    /// Time left until the program should be finished.
    std::optional<duration> programTimeLeft;
    /// Maximum number of tokens that all turns of the program may generate.
    std::optional<std::int64_t> tokenBudget;
    std::optional<token_demand> tokens;
    std::vector<prompt_part> promptParts;
    /// The turn that this one continues from, or empty.
    turn_id previousTurn;
    /// Id of the last event that the client has of a stream that it resumes, or empty.
    std::string lastEventId;
};

/// \brief Header fields that the daemon adds to a request that it forwards to a replica.
struct forward_headers
{
    upstream_id replica;
    /// Time until the client stops waiting.
    duration timeLeft = duration::zero();
    /// Priority at the replica; 0 is the most urgent.
    int urgency = 5;
    /// Whether accounts are in force: the client's key is then not forwarded.
    bool stripsClientKey = false;
    /// The account that the request belongs to, or empty.
    account_id account;
    /// Id of the last event that the client has, if the daemon resumes the stream after it; empty
    /// for a new stream, or one that the client itself resumes.
    std::string lastEventId;
};

/// \brief Classification of a replica's response head.
enum class reply_kind {
    /// The replica's own answer, successful or not.
    Answer,
    /// The replica did not run the request and never will.
    NotRun,
    /// Like NotRun; another replica has the address.
    WrongReplica,
    /// The status promises a client that the request did not run, and nothing shows that it did
    /// not.
    UnprovenRejection,
    /// The head belongs to another request, or is not the replica's own.
    Foreign,
};

template <>
struct enum_names<reply_kind>
{
    static constexpr std::array<std::string_view, 5> names
        = {"answer", "not_run", "wrong_replica", "unproven_rejection", "foreign"};
};

/// \brief Kinds of answers that the daemon itself gives in place of a replica.
enum class local_reply {
    NoRoute,
    /// The request's key is missing or unknown.
    Unauthorized,
    NoSuchTurn,
    BudgetExhausted,
    Malformed,
    TooLarge,
    /// The request did not run and never will.
    Refused,
    /// Like Refused, because the account exceeds its quota.
    OverQuota,
    /// Like Refused, and the request will not be sent in a later attempt either.
    Quarantined,
    /// The request may have run.
    UpstreamFailed,
    /// The request may have run, although its replica rejected it.
    UpstreamRejected,
    /// The request may have run; its deadline has passed.
    TimedOut,
};

template <>
struct enum_names<local_reply>
{
    static constexpr std::array<std::string_view, 12> names
        = {"no_route", "no_access",  "no_such_turn", "budget_spent", "malformed", "too_large",
           "refused",  "over_quota", "quarantined",  "broken",       "rejected",  "timed_out"};
};

} // namespace azurehill
