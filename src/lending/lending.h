#pragma once

/// \file
/// \brief Distributed quotas of client accounts: daemons borrow credits from the daemon that holds
/// the quota row of an account in the store.

#include "lending/credit_exchange.h"
