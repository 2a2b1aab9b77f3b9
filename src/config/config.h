#pragma once

/// \file
/// \brief The configuration stored on the platform: its types, validation, and JSON text.

#include "config/config_diff.h"
#include "config/config_document.h"
#include "config/config_error.h"
#include "config/config_follower.h"
#include "config/config_text.h"
#include "config/configuration.h"
#include "config/platform_time.h"
