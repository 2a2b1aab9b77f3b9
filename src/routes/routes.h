#pragma once

/// \file
/// \brief Which route a request takes, and what the operator says of it.

#include "routes/routing_config.h"
