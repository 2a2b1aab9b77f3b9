#include "daemon/settings.h"

#include "limits/limits.h"

namespace azurehill {

namespace {

constexpr std::int64_t longestTimeMs = 600'000;

std::vector<option_spec> optionTable()
{
    return {
        {"name", "NAME", "name of this daemon, unique in its cell", ""},
        {"cell", "NAME", "cell that this daemon belongs to", "main"},
        {"data-centre", "NAME", "data centre that this daemon stands in", ""},
        {"listen", "IP:PORT", "address for callers and operators; port 0 takes any", "127.0.0.1:0"},
        {"inner-listen", "IP:PORT", "address for other daemons; port 0 takes any", "127.0.0.1:0"},
        {"platform", "IP:PORT", "address of the platform's table and object service", ""},
        {"peers", "IP:PORT,...",
         "inner addresses of other daemons, asked for the configuration while the platform can't "
         "be reached",
         ""},
        {"inner-token", "TEXT", "secret that all daemons of a deployment share", "", true},
        {"operator-token-sha256", "HEX", "SHA-256 of the operators' bearer token", ""},
        {"port-file", "PATH", "write the bound ports here once this daemon listens", ""},
        {"traffic-threads", "N", "threads that carry traffic, 1 to 64", "2"},
        {"log-level", "LEVEL", "lowest level that is logged: debug, info, warning or error",
         "info"},
        {"lease-ttl-ms", "MS", "how long a lease lasts after its renewal, 500 to 600000", "3000"},
        {"commit-interval-ms", "MS", "shortest time between two commits, 1 to 600000", "30"},
        {"commit-first-retry-ms", "MS", "pause before a failed commit is tried again, 1 to 600000",
         "100"},
        {"commit-longest-retry-ms", "MS", "longest pause between tries of a commit, 1 to 600000",
         "2000"},
        {"commit-max-records", "N", "most records in one commit, 1 to 100000", "256"},
        {"max-header-bytes", "N", "longest head of a request, 1024 to 1048576", "16384"},
        {"max-body-bytes", "N", "longest body of a request, 1024 to 1073741824", "4194304"},
        {"max-connections", "N", "most connections at a time, 1 to 1000000", "4096"},
        {"memory-mb", "N",
         "memory of the process in MiB, 64 to 1048576; connections share 3/8 of it", "256"},
        {"request-time-ms", "MS", "longest time from the first byte of a request to its last",
         "20000"},
        {"idle-time-ms", "MS", "longest time that a connection may wait for its next request",
         "75000"},
        {"write-time-ms", "MS", "longest time that a write may stand still", "30000"},
    };
}

void readCommit(option_reader &in, commit_settings &commit)
{
    commit.interval = in.time("commit-interval-ms", 1, longestTimeMs);
    commit.initialRetryDelay = in.time("commit-first-retry-ms", 1, longestTimeMs);
    commit.maxRetryDelay = in.time("commit-longest-retry-ms", 1, longestTimeMs);
    commit.maxRecords = static_cast<std::size_t>(in.number("commit-max-records", 1, 100'000));
    if (commit.maxRetryDelay < commit.initialRetryDelay)
        in.addFault("commit-longest-retry-ms", "must not be under --commit-first-retry-ms");
}

void readLimits(option_reader &in, http_limits &limits)
{
    limits.maxHeaderBytes = static_cast<std::size_t>(in.number("max-header-bytes", 1024, 1 << 20));
    limits.maxBodyBytes = static_cast<std::size_t>(in.number("max-body-bytes", 1024, 1 << 30));
    limits.maxConnections = static_cast<int>(in.number("max-connections", 1, 1'000'000));
    limits.requestTimeout = in.time("request-time-ms", 1, longestTimeMs);
    limits.idleTimeout = in.time("idle-time-ms", 1, longestTimeMs);
    limits.writeTimeout = in.time("write-time-ms", 1, longestTimeMs);
}

/// The largest request has to fit into the share of the connections: it would be refused always.
void readMemory(option_reader &in, settings &s)
{
    s.memoryBytes = in.number("memory-mb", 64, 1 << 20) << 20U;
    const memory_account account(limitsFor(s.memoryBytes, 0).connectionBytes);
    const connection_cost largest = largestCost(s.limits.maxHeaderBytes, s.limits.maxBodyBytes);
    if (!account.couldHold(largest.total()))
        in.addFault("memory-mb", "holds no request of --max-header-bytes and --max-body-bytes");
}

} // namespace

command_line readSettings(int argc, const char **argv)
{
    option_reader in("azurehilld", "[OPTION...]", optionTable());
    in.read(argc, argv);
    command_line result;
    settings &s = result.values;
    s.name = in.name("name");
    s.cell = in.name("cell");
    s.dataCentre = in.name("data-centre");
    s.listen = in.address("listen", true);
    s.innerListen = in.address("inner-listen", true);
    s.platform = in.address("platform", false);
    s.peers = in.addresses("peers");
    s.innerToken = in.requiredText("inner-token");
    s.operatorTokenSha256 = in.sha256("operator-token-sha256");
    s.portFile = in.text("port-file");
    s.trafficThreads = static_cast<int>(in.number("traffic-threads", 1, 64));
    s.logLevel = in.enumerator<log_level>("log-level");
    s.lease.ttl = in.time("lease-ttl-ms", 500, longestTimeMs);
    s.lease.renewalInterval = s.lease.ttl / 3;
    s.lease.clockMargin = s.lease.ttl / 10;
    readCommit(in, s.commit);
    readLimits(in, s.limits);
    readMemory(in, s);

    result.faults = in.faults();
    for (const std::string &word : in.words())
        result.faults.push_back({word, "", "is not a flag"});
    result.versionOnly = in.wantsVersion();
    result.helpText = in.helpText();
    return result;
}

} // namespace azurehill
