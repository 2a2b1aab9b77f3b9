#pragma once

/// \file
/// \brief Programs that a daemon owns: call order, budget, history and idempotency keys.

#include "program/program.h"
#include "program/program_reaper.h"
#include "program/program_registry.h"
#include "program/refusal.h"
#include "program/release_planner.h"
