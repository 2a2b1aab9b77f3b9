#pragma once

/// \file
/// \brief Exchange between daemons of the replicas that ended under requests.
/// docs/design/request-quarantine.md explains the design.

#include "crashes/crash_archive.h"
#include "crashes/crash_exchange.h"
#include "crashes/request_quarantine.h"
