#include "daemon/settings.h"

#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace azurehill {

namespace {

/// \brief One setting that is a text on the command line.
struct text_option
{
    const char *flag;
    const char *argument;
    const char *help;
    std::string value;
};

enum option_index {
    Name,
    Cell,
    DataCentre,
    Listen,
    InnerListen,
    Platform,
    InnerToken,
    OperatorToken,
    PortFile,
    Threads,
    LeaseTtl,
    OptionCount
};

std::vector<text_option> optionTable()
{
    return {
        {"name", "NAME", "name of this daemon, unique in its cell", ""},
        {"cell", "NAME", "cell that this daemon belongs to", "main"},
        {"data-centre", "NAME", "data centre that this daemon stands in", ""},
        {"listen", "HOST:PORT", "address for callers and operators; port 0 takes any",
         "127.0.0.1:0"},
        {"inner-listen", "HOST:PORT", "address for other daemons", "127.0.0.1:0"},
        {"platform", "HOST:PORT", "address of the platform's table and object service", ""},
        {"inner-token", "TEXT", "secret that all daemons of a deployment share", ""},
        {"operator-token-sha256", "HEX", "SHA-256 of the operators' bearer token", ""},
        {"port-file", "PATH", "write the bound port here once it is listening", ""},
        {"traffic-threads", "N", "threads that carry traffic", "2"},
        {"lease-ttl-ms", "MS", "how long a lease lasts after its renewal", "3000"},
    };
}

std::string environmentName(std::string_view flag)
{
    std::string name = "AZUREHILL_";
    for (const char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

/// \brief Collects values and faults while settings are read.
class settings_reader
{
public:
    settings_reader(std::vector<text_option> options, command_line &into)
        : m_options(std::move(options)), m_into(into)
    { }

    std::string text(option_index i, bool required)
    {
        if (required && m_options[i].value.empty())
            fault(i, "must be given");
        return m_options[i].value;
    }

    endpoint address(option_index i)
    {
        const auto parsed = parseEndpoint(m_options[i].value);
        if (!parsed)
            fault(i, "must be HOST:PORT");
        return parsed.value_or(endpoint{});
    }

    int number(option_index i, int least, int most)
    {
        char *end = nullptr;
        const long n = std::strtol(m_options[i].value.c_str(), &end, 10);
        if (m_options[i].value.empty() || *end != '\0' || n < least || n > most) {
            fault(i,
                  "must be a whole number from " + std::to_string(least) + " to "
                      + std::to_string(most));
            return least;
        }
        return static_cast<int>(n);
    }

private:
    void fault(option_index i, std::string reason)
    {
        m_into.faults.push_back(
            {std::string("--") + m_options[i].flag, m_options[i].value, std::move(reason)});
    }

    std::vector<text_option> m_options;
    command_line &m_into;
};

void readEnvironment(std::vector<text_option> &options)
{
    for (text_option &o : options) {
        if (const char *value = std::getenv(environmentName(o.flag).c_str()))
            o.value = value;
    }
}

/// \brief Fills \p options from the command line.
void readFlags(int argc, const char **argv, std::vector<text_option> &options, command_line &into)
{
    std::vector<char *> given(options.size(), nullptr);
    int version = 0;
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < options.size(); ++i) {
        table.push_back({options[i].flag, 0, POPT_ARG_STRING, &given[i], 0, options[i].help,
                         options[i].argument});
    }
    table.push_back(
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr});
    const std::vector<poptOption> tail = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), tail.begin(), tail.end());

    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("azurehilld", argc, argv, table.data(), 0), &poptFreeContext);
    for (int code = 0; (code = poptGetNextOpt(context.get())) < -1;)
        into.faults.push_back({poptBadOption(context.get(), 0), "", poptStrerror(code)});
    if (const char *extra = poptGetArg(context.get()))
        into.faults.push_back({extra, "", "is not a flag"});
    into.versionOnly = version != 0;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (given[i])
            options[i].value = given[i];
        std::free(given[i]);
    }
}

} // namespace

command_line readSettings(int argc, const char **argv)
{
    command_line result;
    std::vector<text_option> options = optionTable();
    readEnvironment(options);
    readFlags(argc, argv, options, result);

    settings_reader in(std::move(options), result);
    settings &s = result.values;
    s.name = in.text(Name, true);
    s.cell = in.text(Cell, true);
    s.dataCentre = in.text(DataCentre, true);
    s.listen = in.address(Listen);
    s.innerListen = in.address(InnerListen);
    s.platform = in.address(Platform);
    s.innerToken = in.text(InnerToken, true);
    s.operatorTokenSha256 = in.text(OperatorToken, true);
    s.portFile = in.text(PortFile, false);
    s.trafficThreads = in.number(Threads, 1, 64);
    s.lease.ttl = milliseconds(in.number(LeaseTtl, 500, 600'000));
    s.lease.renewEvery = s.lease.ttl / 3;
    s.lease.margin = s.lease.ttl / 10;
    return result;
}

} // namespace azurehill
