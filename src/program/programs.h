#pragma once

/// \file
/// \brief The programs that a daemon owns: order of calls, budget, history, idempotency keys.

#include "program/program.h"
#include "program/program_reaper.h"
#include "program/program_registry.h"
#include "program/refusal.h"
#include "program/release_planner.h"
