#pragma once

/// \file
/// \brief The journal: typed records, their text form, and group commits of many programs at once.

#include "journal/batch.h"
#include "journal/commit_batcher.h"
#include "journal/record.h"
