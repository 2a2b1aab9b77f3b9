#pragma once

#include "turns/turn.h"

#include <map>
#include <optional>
#include <string>

namespace azurehill {

/// \brief Tokens that a program has spent, and those held for turns under way.
///
/// A turn takes its largest possible output before it begins and gives back what it did not use.
/// What nobody settles, because a daemon died, stays held: the client may have got those tokens.
struct token_account
{
    std::int64_t spent = 0;
    std::map<std::string, std::int64_t> holds;
    /// When the program should be finished, in milliseconds since 1970 by the clock of the daemon
    /// that saw its first turn; 0 if unknown. Hosts' clocks differ a little, so this only orders
    /// work.
    std::int64_t finishUnixMs = 0;
    /// Time that the program had for all of its work when it began, in milliseconds.
    std::int64_t timeBudgetMs = 0;

    /// \returns spent and held tokens.
    std::int64_t committed() const;
};

std::string encodeAccount(const token_account &account);
/// \returns the account in \p text, or nothing when it can't be read.
std::optional<token_account> decodeAccount(std::string_view text);

/// \returns \p account with \p most tokens held for \p id, or nothing if \p budget does not allow
/// it.
std::optional<token_account> hold(token_account account, const turn_id &id,
                                  std::int64_t maxOutputTokens, std::int64_t budget);
/// \returns whether the tokens that are spent alone leave no room for \p most. They never come
/// back, so this stays true however old \p account is.
bool isExhausted(const token_account &account, std::int64_t maxOutputTokens, std::int64_t budget);
/// \returns \p account with \p used tokens spent in place of the hold of \p id.
token_account settle(token_account account, const turn_id &id, std::int64_t used);

} // namespace azurehill
