#pragma once

#include "core/log.h"
#include "core/runtime_clock.h"
#include "daemon/option_reader.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "journal/commit_batcher.h"
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
    /// Inner addresses of other daemons, for a start while the platform can't be reached.
    std::vector<endpoint> peers;
    /// Secret that daemons of one deployment share.
    std::string innerToken;
    /// SHA-256 of the operators' bearer token, in hexadecimal.
    std::string operatorTokenSha256;
    std::string portFile;
    int trafficThreads = 2;
    log_level logLevel = log_level::Info;
    lease_settings lease;
    commit_settings commit;
    http_limits limits;
    /// Memory that the process may use; the connections have a share of it.
    std::int64_t memoryBytes = 256LL << 20U;
};

/// \brief What the command line asks for.
struct command_line
{
    settings values;
    std::vector<setting_fault> faults;
    bool versionOnly = false;
    /// The help text if it was asked for, else nothing.
    std::string helpText;
};

/// \brief Reads flags and environment; flags go before the environment.
command_line readSettings(int argc, const char **argv);

} // namespace azurehill
