#pragma once

#include "accounts/account_rule.h"
#include "core/core.h"
#include "replicas/replica_incarnation.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Id of a turn: the id of the client's attempt that it answered.
using turn_id = basic_id<struct turn_tag>;

struct turn;
using turn_ptr = std::shared_ptr<const turn>;

/// \brief A turn that was answered whole. Turns that continue from the same one share it.
struct turn
{
    turn_id id;
    /// The program whose part of the store holds the turn.
    program_id program;
    /// The turn before, or null at the start of a chain.
    turn_ptr previous;
    /// What the client sent.
    std::string input;
    /// The data of each event of the answer, each followed by a line feed.
    std::string output;
    /// The replica that answered, whose cache probably still holds the prompt as long as its
    /// process lives.
    replica_incarnation replica;
    /// Tokens of the prompt and the answer, as far as the client said.
    std::int64_t tokens = 0;
    /// Tokens of the answer, which its program's budget is charged; nothing if the row does not
    /// say.
    std::optional<std::int64_t> chargedTokens;
    /// The client account whose turn it is, empty for nobody's; nothing if the row does not say.
    /// Such a row was written before turns had accounts, and any account may continue from it.
    std::optional<account_id> account = account_id();

    turn() = default;
    ~turn();
    turn(const turn &) = default;
    turn(turn &&) = default;
    turn &operator=(const turn &) = default;
    turn &operator=(turn &&) = default;
};

/// \returns whether requests of \p account may continue from \p t.
bool mayContinue(const turn &t, const account_id &account);

/// \returns the prompt of a turn that follows \p last: inputs and outputs of the whole chain,
/// oldest first, and then \p input.
std::string buildPrompt(const turn_ptr &last, std::string_view input);

/// \returns the turns from the oldest to \p last.
std::vector<turn_ptr> chainOf(const turn_ptr &last);

/// \returns \p t as the value of a row; the turns before it are named, not contained.
std::string encodeTurn(const turn &t);

/// \brief A turn as read from a row, before its chain is put together.
struct decoded_turn
{
    turn value;
    /// Empty at the start of a chain.
    turn_id previous;
};

/// \returns the turn in \p row, or nothing when it can't be read.
std::optional<decoded_turn> decodeTurn(std::string_view row);

} // namespace azurehill
