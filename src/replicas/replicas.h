#pragma once

/// \file
/// \brief The replicas as the store lists them, what requests show of them, and the choice of one.

#include "replicas/place_division.h"
#include "replicas/replica_board.h"
#include "replicas/replica_incarnation.h"
#include "replicas/service_gate.h"
