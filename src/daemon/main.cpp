#include "core/log.h"
#include "daemon/daemon.h"

#include <fmt/format.h>

#include <cstdio>

namespace {

constexpr int exitBadSettings = 2;

void printFaults(const std::vector<azurehill::setting_fault> &faults)
{
    for (const azurehill::setting_fault &f : faults)
        fmt::print(stderr, "azurehilld: {}\n", azurehill::toText(f));
}

} // namespace

int main(int argc, const char **argv)
{
    const azurehill::command_line given = azurehill::readSettings(argc, argv);
    if (!given.helpText.empty()) {
        fmt::print("{}", given.helpText);
        return 0;
    }
    if (given.versionOnly) {
        fmt::print("azurehilld {}\n", AZUREHILL_VERSION);
        return 0;
    }
    if (!given.faults.empty()) {
        printFaults(given.faults);
        return exitBadSettings;
    }
    azurehill::setLogLevel(given.values.logLevel);
    return azurehill::runDaemon(given.values);
}
