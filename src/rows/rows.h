#pragma once

/// \file
/// \brief Rows of the store and the order in which writes of them go; no input or output.

#include "rows/poll_schedule.h"
#include "rows/row.h"
#include "rows/table_cache.h"
#include "rows/unreadable_row_log.h"
#include "rows/write_queue.h"
