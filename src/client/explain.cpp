#include "client/explain.h"

#include "client/exit_status.h"
#include "explain/log_story.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace azurehill {

int runExplain(const std::vector<std::string> &arguments)
{
    constexpr std::size_t firstFileIndex = 2;
    if (arguments.size() < firstFileIndex) {
        fmt::print(stderr, "azurehill-ctl: explain needs the id of a request or a program\n");
        return BadUsage;
    }
    parsed_log lines;
    if (arguments.size() == firstFileIndex)
        readLog(std::cin, "-", lines);
    for (std::size_t i = firstFileIndex; i < arguments.size(); ++i) {
        std::ifstream file(arguments[i]);
        if (!file) {
            fmt::print(stderr, "azurehill-ctl: can't read {}\n", arguments[i]);
            return BadUsage;
        }
        readLog(file, arguments[i], lines);
    }
    fmt::print("{}", formatTimeline(lines, arguments[1]));
    return Success;
}

} // namespace azurehill
