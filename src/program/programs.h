#pragma once

/// \file
/// \brief The programs that a daemon owns: order of calls, budget, history, idempotency keys.

#include "program/program.h"
#include "program/program_book.h"
#include "program/refusal.h"
