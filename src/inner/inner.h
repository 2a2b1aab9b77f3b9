#pragma once

/// \file
/// \brief The protocol between daemons: JSON-RPC over the inner HTTP listener.

#include "inner/heartbeat.h"
#include "inner/heartbeats.h"
#include "inner/inner_server.h"
