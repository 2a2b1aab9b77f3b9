#pragma once

/// \file
/// \brief Which route a request takes, and what the operator says of it.

#include "routes/route_book.h"
