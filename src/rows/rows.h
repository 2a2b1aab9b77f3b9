#pragma once

/// \file
/// \brief Rows of the store, cached tables, and the scheduling of writes. Performs no I/O.

#include "rows/paged_read.h"
#include "rows/poll_schedule.h"
#include "rows/row.h"
#include "rows/table_cache.h"
#include "rows/unreadable_row_log.h"
#include "rows/write_queue.h"
