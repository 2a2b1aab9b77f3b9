#pragma once

/// \file
/// \brief Distributed rate limiting of client accounts over all daemons: which daemon lends
/// credits, how many, and what it has to record in the store. docs/design/quotas.md explains the
/// design.

#include "quota/credit_ledger.h"
#include "quota/quota_bound.h"
#include "quota/quota_message.h"
#include "quota/quota_row.h"
#include "quota/quota_shard_state.h"
#include "quota/quota_shards.h"
