#pragma once

#include "core/runtime_clock.h"
#include "http/http_message.h"
#include "ownership/lease.h"

#include <string>
#include <vector>

namespace azurehill {

/// \brief What a daemon is told when it starts, by flags or by AZUREHILL_… variables.
struct settings
{
    std::string name;
    std::string cell = "main";
    std::string dataCentre;
    endpoint listen{"127.0.0.1", 0};
    endpoint innerListen{"127.0.0.1", 0};
    endpoint platform;
    /// Secret that daemons of one deployment share.
    std::string innerToken;
    /// SHA-256 of the operators' bearer token, in hexadecimal.
    std::string operatorTokenSha256;
    std::string portFile;
    int trafficThreads = 2;
    lease_settings lease;
};

/// \brief A setting that can't be used.
struct setting_fault
{
    std::string flag;
    std::string value;
    std::string reason;
};

/// \brief What the command line asks for.
struct command_line
{
    settings values;
    std::vector<setting_fault> faults;
    bool versionOnly = false;
};

/// \brief Reads flags and environment; flags go before the environment.
command_line readSettings(int argc, const char **argv);

} // namespace azurehill
