#pragma once

/// \file
/// \brief The configuration kept by the platform: its form, its checks, its text.

#include "config/config_error.h"
#include "config/config_text.h"
#include "config/configuration.h"
