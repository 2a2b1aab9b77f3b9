#pragma once

/// \file
/// \brief Dispatch of programs' turns to the engines of a group: which programs begin, which turn
/// is next, and which replica serves it.

#include "dispatch/dispatcher_selection.h"
#include "dispatch/program_dispatcher.h"
