#pragma once

/// \file
/// \brief The journal: typed records, their JSON encoding, and group commits of the records of many
/// programs.

#include "journal/batch.h"
#include "journal/commit_batcher.h"
#include "journal/record.h"
