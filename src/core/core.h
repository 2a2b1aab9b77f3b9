#pragma once

/// \file
/// \brief Words that every other module uses: ids, the clock, outcomes, names of enumerators, logs.

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/log_event.h"
#include "core/outcome.h"
#include "core/runtime_clock.h"
