#pragma once

/// \file
/// \brief Turns of programs: durable history and token budgets.

#include "turns/budget_holder.h"
#include "turns/token_account.h"
#include "turns/turn.h"
#include "turns/turn_cache.h"
#include "turns/turn_ledger.h"
