#include "client/explain.h"

#include "client/exit_status.h"
#include "explain/log_story.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace azurehill {

int runExplain(const std::vector<std::string> &words)
{
    constexpr std::size_t firstFileIndex = 2;
    if (words.size() < firstFileIndex) {
        fmt::print(stderr, "azurehill-ctl: explain needs the id of a request or a program\n");
        return BadUsage;
    }
    parsed_log lines;
    if (words.size() == firstFileIndex)
        readLog(std::cin, "-", lines);
    for (std::size_t i = firstFileIndex; i < words.size(); ++i) {
        std::ifstream file(words[i]);
        if (!file) {
            fmt::print(stderr, "azurehill-ctl: can't read {}\n", words[i]);
            return BadUsage;
        }
        readLog(file, words[i], lines);
    }
    fmt::print("{}", formatTimeline(lines, words[1]));
    return Done;
}

} // namespace azurehill
