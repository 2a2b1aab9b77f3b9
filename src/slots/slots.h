#pragma once

/// \file
/// \brief Engine slots for turns: daemons request them from the dispatcher of the program's group.

#include "slots/slot_exchange.h"
