#pragma once

/// \file
/// \brief Types shared by all modules: ids, the clock, request outcomes, enumerator names and
/// logging.

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/log_event.h"
#include "core/outcome.h"
#include "core/runtime_clock.h"
