#pragma once

#include "journal/record.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurehill {

/// \brief A call that has begun and whose end is not durable yet.
struct open_call
{
    std::int64_t turn = 0;
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
};

/// \brief The result of a finished turn, kept to answer retries of the same request.
struct closed_call
{
    std::string key;
    /// Empty if the response is known; otherwise whether the call ran.
    std::optional<outcome> failed;
    int status = 0;
    std::string reply;
    std::string contentType = "application/json";
};

/// \brief State of one program, derived only from its journal records.
struct program
{
    program_id id;
    program_id parent;
    tenant_id tenant;
    std::string programClass;
    std::int64_t budgetTokens = 0;
    std::int64_t deadlineUnixMs = 0;
    std::int64_t createdUnixMs = 0;
    std::int64_t maxTurns = 0;
    std::int64_t idleMs = 0;
    std::vector<program_id> children;

    /// Messages of all finished turns: the elements of a JSON array, without the brackets.
    std::string history;
    /// Upper bound on the prompt tokens of the history.
    std::int64_t historyTokens = 0;
    /// Tokens spent and reserved by the program and all its descendants.
    std::int64_t spentTokens = 0;
    std::int64_t reservedTokens = 0;
    std::int64_t lastTurn = 0;
    std::optional<open_call> openCall;
    /// The turn of each idempotency key; a key is never sent under a second turn.
    std::map<std::string, std::int64_t> turnByKey;
    std::map<std::int64_t, closed_call> closedCalls;
    std::optional<end_reason> ended;
    /// Engines whose KV cache may hold data of the program.
    std::set<upstream_id> engines;

    /// \returns the tokens of the program's own budget that are neither spent nor reserved.
    std::int64_t freeTokens() const;
};

} // namespace azurehill
