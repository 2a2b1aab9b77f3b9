#include "daemon/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace azurehill;

namespace {

const std::string digest(64, 'a');

/// \brief Reads \p extra after the flags that must be given.
command_line readWithRequired(std::vector<std::string> extra)
{
    std::vector<std::string> all = {
        "azurehilld", "--name",         "entry-1",       "--data-centre", "riohacha",
        "--platform", "127.0.0.1:7000", "--inner-token", "secret",        "--operator-token-sha256",
        digest};
    all.insert(all.end(), extra.begin(), extra.end());
    std::vector<const char *> argv;
    for (const std::string &a : all)
        argv.push_back(a.c_str());
    return readSettings(static_cast<int>(argv.size()), argv.data());
}

bool hasFault(const command_line &c, std::string_view source, std::string_view value)
{
    return std::any_of(c.faults.begin(), c.faults.end(), [&](const setting_fault &f) {
        return f.source == source && f.value == value && !f.reason.empty();
    });
}

/// \brief Sets a variable for the length of a test.
struct variable
{
    variable(const char *n, const char *value) : name(n) { setenv(n, value, 1); }
    ~variable() { unsetenv(name); }
    variable(const variable &) = delete;
    variable &operator=(const variable &) = delete;
    const char *name;
};

} // namespace

TEST_CASE("A daemon's settings come from flags, then variables, then defaults")
{
    SUBCASE("with only what must be given, the rest has its default")
    {
        const command_line c = readWithRequired({});
        CHECK(c.faults.empty());
        CHECK(c.values.name == "entry-1");
        CHECK(c.values.limits.maxConnections == http_limits().maxConnections);
        CHECK(c.values.limits.maxBodyBytes == http_limits().maxBodyBytes);
        CHECK(c.values.limits.idleTimeout == http_limits().idleTimeout);
        CHECK(c.values.commit.interval == commit_settings().interval);
        CHECK(c.values.commit.maxRecords == commit_settings().maxRecords);
    }
    SUBCASE("a variable goes before the default")
    {
        const variable threads("AZUREHILL_TRAFFIC_THREADS", "7");
        CHECK(readWithRequired({}).values.trafficThreads == 7);
        SUBCASE("and a flag before the variable")
        {
            CHECK(readWithRequired({"--traffic-threads", "3"}).values.trafficThreads == 3);
        }
        SUBCASE("the last of a repeated flag counts")
        {
            CHECK(readWithRequired({"--traffic-threads", "3", "--traffic-threads=4"})
                      .values.trafficThreads
                  == 4);
        }
    }
    SUBCASE("peers are a list of addresses")
    {
        const command_line c = readWithRequired({"--peers", "10.0.0.1:70,10.0.0.2:71"});
        CHECK(c.faults.empty());
        CHECK(c.values.peers == std::vector<endpoint>{{"10.0.0.1", 70}, {"10.0.0.2", 71}});
    }
}

TEST_CASE("Every fault of the settings is named at once")
{
    SUBCASE("with its flag and value")
    {
        const command_line c = readWithRequired(
            {"--listen", "localhost:80", "--traffic-threads", "0", "--log-level", "loud",
             "--platform", "127.0.0.1:0", "--peers", "10.0.0.1", "--nonsense", "word"});
        CHECK(c.faults.size() == 7);
        CHECK(hasFault(c, "--listen", "localhost:80"));
        CHECK(hasFault(c, "--traffic-threads", "0"));
        CHECK(hasFault(c, "--log-level", "loud"));
        CHECK(hasFault(c, "--platform", "127.0.0.1:0"));
        CHECK(hasFault(c, "--peers", "10.0.0.1"));
        CHECK(hasFault(c, "--nonsense", ""));
        CHECK(hasFault(c, "word", ""));
    }
    SUBCASE("or with its variable")
    {
        const variable threads("AZUREHILL_TRAFFIC_THREADS", "65");
        CHECK(hasFault(readWithRequired({}), "AZUREHILL_TRAFFIC_THREADS", "65"));
    }
    SUBCASE("numbers are read whole and within their range")
    {
        for (const char *bad : {"", "1x", " 1", "-1", "99999999999999999999", "1048577"})
            CHECK(
                hasFault(readWithRequired({"--max-header-bytes", bad}), "--max-header-bytes", bad));
    }
    SUBCASE("settings that contradict each other are a fault")
    {
        CHECK(hasFault(readWithRequired(
                           {"--commit-first-retry-ms", "500", "--commit-longest-retry-ms", "400"}),
                       "--commit-longest-retry-ms", "400"));
    }
    SUBCASE("a name that would break row keys is refused")
    {
        CHECK(hasFault(readWithRequired({"--cell", "a/b"}), "--cell", "a/b"));
    }
    SUBCASE("a secret is not repeated")
    {
        CHECK(hasFault(readWithRequired({"--inner-token", ""}), "--inner-token", ""));
    }
    SUBCASE("with nothing given, each that must be is named")
    {
        const char *argv[] = {"azurehilld"};
        CHECK(readSettings(1, argv).faults.size() == 5);
    }
}

TEST_CASE("Help names every flag with its variable and default")
{
    const std::string help = readWithRequired({"--help"}).helpText;
    for (const char *part : {"--traffic-threads", "AZUREHILL_TRAFFIC_THREADS", "--max-body-bytes",
                             "--peers", "--log-level", "4194304", "--version"})
        CHECK_MESSAGE(help.find(part) != std::string::npos, part);
    CHECK(readWithRequired({"--version"}).versionOnly);
}
