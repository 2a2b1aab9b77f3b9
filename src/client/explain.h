#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// Name of the subcommand.
inline constexpr std::string_view explainCommand = "explain";

/// \brief Prints the history of a request or a program as reconstructed from log files.
/// \param arguments "explain", the id, and the log files; without a file, standard input is read.
/// \returns the exit status.
int runExplain(const std::vector<std::string> &arguments);

} // namespace azurehill
