#pragma once

/// \file
/// \brief Client accounts: who a request's key belongs to, and what it may do.

#include "accounts/access.h"
#include "accounts/account_book.h"
#include "accounts/account_rule.h"
#include "accounts/api_key.h"
