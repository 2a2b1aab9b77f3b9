#pragma once

/// \file
/// \brief Asio utilities based on runtime_clock: timers, notifications between threads, and running
/// functions on other executors.

#include "runtime/asio.h"
#include "runtime/deadline_guard.h"
#include "runtime/notifier.h"
#include "runtime/run_on.h"
#include "runtime/spawn.h"
#include "runtime/timer.h"
