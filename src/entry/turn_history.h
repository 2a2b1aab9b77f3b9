#pragma once

#include "turns/turn.h"

#include <variant>

namespace azurehill {

/// \brief The daemons store the history of the program: a turn carries only its new input.
struct stored_history
{
    /// The turn that this one continues, or null for the first turn of a chain.
    turn_ptr previous;
};

/// \brief The client keeps the history of the program: a turn carries the whole prompt.
struct client_history
{ };

/// \brief Where the history of a turn's program is kept.
using turn_history = std::variant<stored_history, client_history>;

} // namespace azurehill
