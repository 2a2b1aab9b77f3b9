#pragma once

/// \file
/// \brief Client accounts: their configuration, and authentication of requests by API key.

#include "accounts/access.h"
#include "accounts/account_config.h"
#include "accounts/account_registry.h"
#include "accounts/api_key.h"
