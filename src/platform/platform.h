#pragma once

/// \file
/// \brief The platform's services: a transactional table, an object store and a host list.

#include "platform/platform_client.h"
#include "platform/platform_error.h"
#include "platform/table.h"
