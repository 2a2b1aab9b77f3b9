#pragma once

#include "journal/record.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurehill {

/// \brief A call that has begun and has no durable end yet.
struct open_call
{
    std::int64_t turn = 0;
    std::string key;
    call_kind kind = call_kind::Model;
    bool idempotent = true;
    std::int64_t reservedTokens = 0;
};

/// \brief How a turn ended, kept for a repeated request.
struct closed_call
{
    std::string key;
    /// Nothing when the answer is known; otherwise what is known of the run.
    std::optional<outcome> failed;
    int status = 0;
    std::string reply;
    std::string contentType = "application/json";
};

/// \brief State of one program, built from its journal records alone.
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

    /// Messages of all finished turns, the elements of a JSON array without its brackets.
    std::string history;
    /// Most tokens that the history makes as a prompt.
    std::int64_t historyTokens = 0;
    /// Spent and reserved by the program and all below it.
    std::int64_t spentTokens = 0;
    std::int64_t reservedTokens = 0;
    std::int64_t lastTurn = 0;
    std::optional<open_call> openCall;
    /// Turn under which each key was used; a key never goes out under a second turn.
    std::map<std::string, std::int64_t> turnByKey;
    std::map<std::int64_t, closed_call> closedCalls;
    std::optional<end_reason> ended;
    /// Engines that may hold the program's cache.
    std::set<upstream_id> engines;

    /// \returns tokens of its own budget that are neither spent nor reserved.
    std::int64_t freeTokens() const;
};

} // namespace azurehill
