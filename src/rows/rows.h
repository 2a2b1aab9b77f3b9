#pragma once

/// \file
/// \brief Rows of the store and the order in which writes of them go; no input or output.

#include "rows/read_turn.h"
#include "rows/row.h"
#include "rows/table_cache.h"
#include "rows/unreadable_rows.h"
#include "rows/write_queue.h"
