#pragma once

/// \file
/// \brief Decisions under load: which call goes next, to which replica, or is refused.

#include "sched/scheduler.h"
