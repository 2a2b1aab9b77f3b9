#pragma once

/// \file
/// \brief Quarantine of requests under which replicas end: the identity of a request over its
/// attempts, and what is known of replicas that lost one.

#include "quarantine/crash_watch.h"
#include "quarantine/request_fingerprint.h"
