#pragma once

/// \file
/// \brief Turns of programs: their history, their budget, and how both become durable.

#include "turns/token_account.h"
#include "turns/turn.h"
#include "turns/turn_cache.h"
#include "turns/turn_ledger.h"
