#pragma once

/// \file
/// \brief Client of the platform's services: a transactional key-value table, an object store and
/// a host list.

#include "platform/platform_client.h"
#include "platform/platform_error.h"
#include "platform/table.h"
