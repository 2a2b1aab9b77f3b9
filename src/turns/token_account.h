#pragma once

#include "turns/turn.h"

#include <map>
#include <optional>
#include <string>

namespace azurehill {

/// \brief A program's token budget account: tokens spent, and holds for turns in progress.
///
/// Before a turn begins, its maximum output is held; settling the turn replaces the hold by the
/// tokens used. A hold that is never settled, because its daemon failed, stays: the client may have
/// received those tokens.
struct token_account
{
    std::int64_t spent = 0;
    /// Held tokens by turn id.
    std::map<std::string, std::int64_t> holds;
    /// Target finish time of the program, in Unix milliseconds by the clock of the daemon that
    /// received its first turn; 0 if unknown. The clocks of hosts differ, so this is only used to
    /// prioritise work.
    std::int64_t finishUnixMs = 0;
    /// Time from the start of the program to its target finish time, in milliseconds; 0 if unknown.
    std::int64_t timeBudgetMs = 0;
    /// How long the account's row is kept after it was written; empty if the row does not state it.
    std::optional<duration> retention;

    /// \returns the sum of spent and held tokens.
    std::int64_t committed() const;
};

std::string encodeAccount(const token_account &account);
/// \returns the account in \p text, or nothing if it can't be decoded.
std::optional<token_account> decodeAccount(std::string_view text);

/// \returns \p account with \p maxOutputTokens held for \p id, or nothing if that would exceed
/// \p budget.
std::optional<token_account> hold(token_account account, const turn_id &id,
                                  std::int64_t maxOutputTokens, std::int64_t budget);
/// \returns whether the spent tokens alone leave less than \p maxOutputTokens of \p budget. Spent
/// tokens are never returned, so a true result holds even if \p account is out of date.
bool isExhausted(const token_account &account, std::int64_t maxOutputTokens, std::int64_t budget);
/// \returns \p account, to be kept for \p retention at least.
token_account retain(token_account account, duration retention);
/// \returns \p account with the hold of \p id replaced by \p used spent tokens.
token_account settle(token_account account, const turn_id &id, std::int64_t used);

} // namespace azurehill
