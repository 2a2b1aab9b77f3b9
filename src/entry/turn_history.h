#pragma once

#include "turns/turn.h"

#include <variant>

namespace azurehill {

/// \brief The daemons keep the history of the program: a turn carries its new input only.
struct kept_history
{
    /// The turn that this one continues from, or null at the start of a chain.
    turn_ptr previous;
};

/// \brief The program's caller keeps its history: a turn carries the whole prompt.
struct callers_history
{ };

/// \brief Who keeps what was said before a turn.
using turn_history = std::variant<kept_history, callers_history>;

} // namespace azurehill
