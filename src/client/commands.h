#pragma once

#include "client/daemon_client.h"

#include <string>
#include <vector>

namespace azurehill {

/// \brief Parsed command line of azurehill-ctl.
struct ctl_options
{
    bool json = false;
    std::string author;
    /// Version of the configuration that a change is based on (optimistic locking). If empty, the
    /// newest version, which is read immediately before the change.
    std::string ifVersion;
    /// Name of the subcommand and its arguments.
    std::vector<std::string> positionalArguments;
};

/// \brief Runs the subcommand that the positional arguments name and prints its result.
/// \returns the exit status.
int runCommand(const daemon_client &client, const ctl_options &options);

/// \returns the section of the help text that lists the subcommands.
std::string commandHelp();

} // namespace azurehill
