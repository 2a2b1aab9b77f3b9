#pragma once

/// \file
/// \brief Who owns which program: leases, the cell's view, placement. No input or output in here.

#include "ownership/cell_view.h"
#include "ownership/failure_detector.h"
#include "ownership/lease.h"
#include "ownership/membership.h"
#include "ownership/ownership_history.h"
#include "ownership/placement.h"
