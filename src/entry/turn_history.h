#pragma once

#include "turns/turn.h"

#include <variant>

namespace azurehill {

/// \brief The daemons keep the history of the program: a turn carries its new input only.
struct stored_history
{
    /// The turn that this one continues from, or null at the start of a chain.
    turn_ptr previous;
};

/// \brief The program's caller keeps its history: a turn carries the whole prompt.
struct client_history
{ };

/// \brief Who keeps what was said before a turn.
using turn_history = std::variant<stored_history, client_history>;

} // namespace azurehill
