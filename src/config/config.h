#pragma once

/// \file
/// \brief The configuration kept by the platform: its form, its checks, its text.

#include "config/config_diff.h"
#include "config/config_document.h"
#include "config/config_error.h"
#include "config/config_follower.h"
#include "config/config_text.h"
#include "config/configuration.h"
#include "config/platform_time.h"
