#pragma once

/// \file
/// \brief The replicas as the store lists them, what requests show of them, and the choice of one.

#include "replicas/concurrency_limiter.h"
#include "replicas/place_division.h"
#include "replicas/replica_incarnation.h"
#include "replicas/replica_load_balancer.h"
