#pragma once

/// \file
/// \brief Registered replicas, their observed health, concurrency limits and load balancing.

#include "replicas/concurrency_limiter.h"
#include "replicas/place_division.h"
#include "replicas/replica_incarnation.h"
#include "replicas/replica_load_balancer.h"
