#pragma once

#include "accounts/account_config.h"
#include "core/core.h"
#include "core/runtime_clock.h"
#include "replicas/replica_incarnation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Id of a turn: the id of the client request that it answered.
using turn_id = basic_id<struct turn_tag>;

/// \brief Account of a turn's memory for the lifetime of the turn.
class turn_memory
{
public:
    virtual ~turn_memory() = default;
};

struct turn;
using turn_ptr = std::shared_ptr<const turn>;

/// \brief A completed turn: one model call of a program with its input and complete output. Turns
/// form a tree: those that continue from the same turn share it.
struct turn
{
    turn_id id;
    /// The program whose store partition holds the turn.
    program_id program;
    /// The preceding turn, or null at the start of a chain.
    turn_ptr previous;
    /// The input that the client sent.
    std::string input;
    /// The data of each event of the response stream, each followed by a line feed.
    std::string output;
    /// The replica that answered. Its KV cache probably holds the prompt until its process
    /// restarts.
    replica_incarnation replica;
    /// Tokens of the prompt and the response, as stated by the client.
    std::int64_t tokens = 0;
    /// Output tokens, which are charged to the program's budget; empty if the row does not state
    /// them.
    std::optional<std::int64_t> chargedTokens;
    /// Name of the route that served the turn; empty if the row does not state it.
    std::string route;
    /// How long the turn's rows are kept after they were written; empty if the row does not state
    /// it.
    std::optional<duration> retention;
    /// The client account that owns the turn; an empty id if none does. No value if the row does
    /// not state it: such a row was written before turns had accounts, and any account may continue
    /// from it.
    std::optional<account_id> account = account_id();
    /// Set when the turn is first cached, and null before.
    mutable std::shared_ptr<const turn_memory> memory;

    turn() = default;
    ~turn();
    turn(const turn &) = default;
    turn(turn &&) = default;
    turn &operator=(const turn &) = default;
    turn &operator=(turn &&) = default;
};

/// \returns the retention time that a row states as \p ms milliseconds. \throws std::out_of_range
/// if it is negative or longer than a row may state.
duration parseRetention(std::int64_t ms);

/// \returns whether requests of \p account may continue from \p t.
bool mayContinue(const turn &t, const account_id &account);

/// \returns the prompt of a turn that follows \p last: inputs and outputs of the whole chain,
/// oldest first, followed by \p input.
std::string buildPrompt(const turn_ptr &last, std::string_view input);

/// \returns the chain of turns that ends with \p last, oldest first.
std::vector<turn_ptr> chainOf(const turn_ptr &last);

/// \returns \p t encoded as a row value. The preceding turn is referenced by its id.
std::string encodeTurn(const turn &t);

/// \brief A turn as decoded from its rows, not yet linked to the preceding turn.
struct decoded_turn
{
    turn value;
    /// Id of the preceding turn; empty at the start of a chain.
    turn_id previous;
};

/// \returns the turn in \p row, or nothing if it can't be decoded.
std::optional<decoded_turn> decodeTurn(std::string_view row);

} // namespace azurehill
