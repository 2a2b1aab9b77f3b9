#pragma once

/// \file
/// \brief Module limits: what the peers of one process may make it hold, and the account of it.

#include "limits/connection_cost.h"
#include "limits/memory_account.h"
#include "limits/process_limits.h"
