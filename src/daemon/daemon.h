#pragma once

#include "daemon/settings.h"

namespace azurehill {

/// \brief Runs a daemon until SIGTERM or SIGINT has drained it. \returns the exit status.
int runDaemon(const settings &s);

} // namespace azurehill
