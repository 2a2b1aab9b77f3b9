#pragma once

/// \file
/// \brief Client accounts: who a request's key belongs to, and what it may do.

#include "accounts/access.h"
#include "accounts/account_config.h"
#include "accounts/account_registry.h"
#include "accounts/api_key.h"
