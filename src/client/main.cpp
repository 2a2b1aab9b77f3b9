// azurehill-ctl, the operators' command-line tool: shows and changes a deployment through the
// operator API of any of its daemons.

#include "client/commands.h"
#include "client/explain.h"
#include "daemon/option_reader.h"

#include <fmt/format.h>

#include <cstdlib>

namespace azurehill {

namespace {

std::vector<option_spec> optionTable()
{
    const char *user = std::getenv("USER");
    return {
        {"daemon", "IP:PORT", "a daemon to talk to", ""},
        {"token", "TEXT", "the operators' bearer token", "", true},
        {"author", "NAME", "who makes a change, for the history", user ? user : "operator"},
        {"if-version", "N", "version that a change is made to, else the one read just before", ""},
        {"json", nullptr, "print JSON", ""},
    };
}

int run(int argc, const char **argv)
{
    option_reader reader("azurehill-ctl", "[OPTION...] COMMAND", optionTable());
    reader.read(argc, argv);
    if (!reader.helpText().empty()) {
        fmt::print("{}\n{}", reader.helpText(), commandHelp());
        return Success;
    }
    if (reader.wantsVersion()) {
        fmt::print("azurehill-ctl {}\n", AZUREHILL_VERSION);
        return Success;
    }
    ctl_options options;
    options.json = reader.isOn("json");
    options.author = reader.requiredText("author");
    options.ifVersion = reader.text("if-version");
    if (!options.ifVersion.empty())
        reader.number("if-version", 0, INT64_MAX);
    options.positionalArguments = reader.words();
    // Reads only log files and needs no daemon, since the daemon may no longer be running.
    if (!options.positionalArguments.empty()
        && options.positionalArguments.front() == explainCommand)
        return runExplain(options.positionalArguments);
    const endpoint daemon = reader.address("daemon", false);
    const daemon_client client(daemon, reader.requiredText("token"));
    for (const setting_fault &f : reader.faults())
        fmt::print(stderr, "azurehill-ctl: {}\n", toText(f));
    return reader.faults().empty() ? runCommand(client, options) : BadSettings;
}

} // namespace

} // namespace azurehill

int main(int argc, const char **argv)
{
    return azurehill::run(argc, argv);
}
