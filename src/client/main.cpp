// The operators' command line: shows and changes a deployment through any of its daemons.

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
    option_reader in("azurehill-ctl", "[OPTION...] COMMAND", optionTable());
    in.read(argc, argv);
    if (!in.helpText().empty()) {
        fmt::print("{}\n{}", in.helpText(), commandHelp());
        return Done;
    }
    if (in.wantsVersion()) {
        fmt::print("azurehill-ctl {}\n", AZUREHILL_VERSION);
        return Done;
    }
    ctl_options options;
    options.json = in.isOn("json");
    options.author = in.requiredText("author");
    options.ifVersion = in.text("if-version");
    if (!options.ifVersion.empty())
        in.number("if-version", 0, INT64_MAX);
    options.words = in.words();
    // Reads logs only: no daemon is asked, since it may be gone.
    if (!options.words.empty() && options.words.front() == explainCommand)
        return runExplain(options.words);
    const endpoint daemon = in.address("daemon", false);
    const daemon_client client(daemon, in.requiredText("token"));
    for (const setting_fault &f : in.faults())
        fmt::print(stderr, "azurehill-ctl: {}\n", toText(f));
    return in.faults().empty() ? runCommand(client, options) : BadSettings;
}

} // namespace

} // namespace azurehill

int main(int argc, const char **argv)
{
    return azurehill::run(argc, argv);
}
