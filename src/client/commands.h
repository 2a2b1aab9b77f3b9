#pragma once

#include "client/daemon_client.h"

#include <string>
#include <vector>

namespace azurehill {

struct ctl_options
{
    bool json = false;
    std::string author;
    /// Version of the configuration that a change is made to; empty for the one read just before.
    std::string ifVersion;
    std::vector<std::string> positionalArguments;
};

/// \brief Runs the command that the words name and prints its result. \returns the exit status.
int runCommand(const daemon_client &client, const ctl_options &options);

/// \returns the lines of the help that name the commands.
std::string commandHelp();

} // namespace azurehill
