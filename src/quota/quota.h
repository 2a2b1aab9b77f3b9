#pragma once

/// \file
/// \brief Request quotas of client accounts over all daemons: who lends credits, how many, and what
/// the store has to know of it. docs/design/quotas.md gives the reasons.

#include "quota/credit_ledger.h"
#include "quota/quota_bound.h"
#include "quota/quota_message.h"
#include "quota/quota_row.h"
#include "quota/quota_shard_state.h"
#include "quota/quota_shards.h"
