#pragma once

/// \file
/// \brief Asio with the project's clock: timers, notifications between threads, hops between
/// executors.

#include "runtime/asio.h"
#include "runtime/deadline_guard.h"
#include "runtime/notifier.h"
#include "runtime/run_on.h"
#include "runtime/spawn.h"
#include "runtime/timer.h"
