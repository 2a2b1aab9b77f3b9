#include "entry/entry_options.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <memory>

namespace azurehill {

namespace {

constexpr const char *metricsPortVariable = "AZUREHILL_METRICS_PORT";
constexpr const char *withoutVariable = "AZUREHILL_WITHOUT";
constexpr int largestPort = 65535;

constexpr const char *helpText
    = "Usage: azurehill-entry [--metrics-port PORT] [--port-file FILE] [--without NAMES]\n"
      "The daemon in front of the users' platform.\n\n"
      "  --metrics-port PORT  serve metrics at /metrics on this port of the host's address\n"
      "                       (environment: AZUREHILL_METRICS_PORT; 0 or nothing: none)\n"
      "  --port-file FILE     write the ports of clients, readiness, look-ups and peers there\n"
      "  --without NAMES      switch these mechanisms off, separated by commas, to measure what "
      "each\n"
      "                       is worth; docs/DECISIONS.md has their names\n"
      "                       (environment: AZUREHILL_WITHOUT)\n"
      "  --help, --version\n\n"
      "The platform's settings come from the file that AZUREHILL_SETTINGS names.\n";

int fromEnvironment()
{
    const char *text = std::getenv(metricsPortVariable);
    return text ? std::atoi(text) : 0;
}

} // namespace

entry_options readEntryOptions(int argc, const char **argv)
{
    int port = fromEnvironment();
    char *portFile = nullptr;
    char *without = nullptr;
    int help = 0;
    int version = 0;
    const poptOption table[] = {
        {"metrics-port", '\0', POPT_ARG_INT, &port, 0, nullptr, nullptr},
        {"port-file", '\0', POPT_ARG_STRING, &portFile, 0, nullptr, nullptr},
        {"without", '\0', POPT_ARG_STRING, &without, 0, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, &help, 0, nullptr, nullptr},
        {"version", '\0', POPT_ARG_NONE, &version, 0, nullptr, nullptr},
        POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("azurehill-entry", argc, argv, table, 0), poptFreeContext);
    entry_options options;
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        options.fault
            = fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(result));
    } else if (const char *extra = poptGetArg(context.get())) {
        options.fault = fmt::format("unexpected argument {}", extra);
    } else if (port < 0 || port > largestPort) {
        options.fault = fmt::format("metrics port {}: must be 0 to {}", port, largestPort);
    }
    const char *offList = without ? without : std::getenv(withoutVariable);
    const std::string unknown = disableByName(options.mechanisms, offList ? offList : "");
    std::free(without);
    if (!unknown.empty() && options.fault.empty())
        options.fault = fmt::format("--without {}: no such mechanism", unknown);
    if (help)
        options.printAndExit = helpText;
    else if (version)
        options.printAndExit = fmt::format("azurehill-entry {}\n", AZUREHILL_VERSION);
    if (portFile)
        options.portFile = portFile;
    std::free(portFile);
    options.metricsPort = static_cast<std::uint16_t>(port);
    return options;
}

} // namespace azurehill
