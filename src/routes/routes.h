#pragma once

/// \file
/// \brief Routing of requests by the operator's configuration.

#include "routes/routing_config.h"
