#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// First word of the command.
inline constexpr std::string_view explainCommand = "explain";

/// \brief Prints what logs tell of a request or a program.
/// \param words "explain", the id, and the log files; standard input where no file is named.
/// \returns the exit status.
int runExplain(const std::vector<std::string> &words);

} // namespace azurehill
