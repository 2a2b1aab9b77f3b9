#pragma once

/// \file
/// \brief Scheduling: admission of programs, order of calls, choice of replicas, and retries.

#include "sched/scheduler.h"
