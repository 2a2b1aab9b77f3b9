#pragma once

/// \file
/// \brief The store as the product sees it: versioned rows, transactions, ranges and feeds.

#include "store/store.h"
#include "store/store_transport.h"
