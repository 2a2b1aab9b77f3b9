#pragma once

#include "core/mechanism.h"

#include <cstdint>
#include <string>

namespace azurehill {

/// \brief Settings of the daemon itself; those of the platform come from its settings file.
struct entry_options
{
    /// Port of the metrics on the host's address; 0 for none.
    std::uint16_t metricsPort = 0;
    /// File to which the ports are written once the daemon listens, for tests that let the system
    /// choose them; or empty. It holds the ports of clients, readiness, look-ups and peers.
    std::string portFile;
    mechanism_set mechanisms;
    /// Text to print instead of running, such as the help.
    std::string printAndExit;
    /// What is wrong with the command line, or empty.
    std::string fault;
};

/// \brief Reads the command line; options that it omits are read from the environment.
entry_options readEntryOptions(int argc, const char **argv);

} // namespace azurehill
