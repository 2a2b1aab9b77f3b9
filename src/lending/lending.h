#pragma once

/// \file
/// \brief Credits of client accounts on their way between daemons, and the rows that back them.

#include "lending/credit_exchange.h"
