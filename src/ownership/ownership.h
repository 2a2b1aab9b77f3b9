#pragma once

/// \file
/// \brief Ownership of programs: leases, the cell's view, failure detection and placement. This
/// folder does no input or output.

#include "ownership/cell_view.h"
#include "ownership/failure_detector.h"
#include "ownership/lease.h"
#include "ownership/membership.h"
#include "ownership/ownership_history.h"
#include "ownership/placement.h"
