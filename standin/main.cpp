// Plays one system that azurehill is built on or serves: the platform, an engine, a tool, a replica
// of the users' platform, a service.

#include "core/log.h"
#include "http/http_client.h"
#include "runtime/timer.h"
#include "standin/engine_standin.h"
#include "standin/fault.h"
#include "standin/platform_standin.h"
#include "standin/replica_standin.h"
#include "standin/tool_standin.h"

#include <boost/json.hpp>
#include <popt.h>

#include <cstdio>
#include <cstdlib>

namespace azurehill::standin {

namespace {

enum class role { Platform, Engine, Tool, Plain, Replica };

struct options
{
    char *role = nullptr;
    char *listen = nullptr;
    char *portFile = nullptr;
    char *platform = nullptr;
    char *name = nullptr;
    char *service = nullptr;
    char *dataCentre = nullptr;
    int hostLagMs = 0;
    int tokenUs = 2000;
    int callMs = 5;
    int ignoreFencing = 0;
    int cacheLagMs = 0;
    int cacheGapEvery = 0;
};

} // namespace

} // namespace azurehill::standin

namespace azurehill {

template <>
struct enum_names<standin::role>
{
    static constexpr std::array<std::string_view, 5> names
        = {"platform", "engine", "tool", "plain", "replica"};
};

} // namespace azurehill

namespace azurehill::standin {

namespace {

engine_settings engineSettings(const options &o)
{
    engine_settings s;
    s.perToken = std::chrono::microseconds(o.tokenUs);
    s.cache.checksFencing = o.ignoreFencing == 0;
    s.cache.eventLag = milliseconds(o.cacheLagMs);
    s.cache.gapEvery = o.cacheGapEvery;
    return s;
}

request_handler makeHandler(role r, const options &o)
{
    switch (r) {
    case role::Platform:
        return makePlatform(milliseconds(o.hostLagMs));
    case role::Engine:
        return makeEngine(engineSettings(o));
    case role::Tool:
    case role::Plain:
        return makeTool(milliseconds(o.callMs));
    case role::Replica:
        return makeReplica(o.name ? o.name : "");
    }
    return {};
}

std::string hostEntry(const endpoint &self, const options &o)
{
    return boost::json::serialize(boost::json::object{{"name", o.name},
                                                      {"service", o.service},
                                                      {"host", self.host},
                                                      {"port", self.port},
                                                      {"data_centre", o.dataCentre},
                                                      {"leaving", false}});
}

/// \brief Enters this stand-in into the host list, as the platform's own deployment would.
awaitable<void> registerHost(endpoint platform, endpoint self, options o)
{
    http_request request;
    request.method = "POST";
    request.target = "/hosts";
    request.body = hostEntry(self, o);
    while (true) {
        const auto deadline = runtime_clock::now() + seconds(1);
        const auto done = co_await exchangeOnce(platform, request, deadline);
        if (done && done->status == 200)
            co_return;
        co_await sleepFor(milliseconds(50));
    }
}

bool writePort(const char *path, std::uint16_t port)
{
    const std::string unfinished = std::string(path) + ".part";
    std::FILE *file = std::fopen(unfinished.c_str(), "w");
    if (!file)
        return false;
    std::fprintf(file, "%u\n", port);
    return std::fclose(file) == 0 && std::rename(unfinished.c_str(), path) == 0;
}

int run(const options &o)
{
    const auto which = fromName<role>(o.role ? o.role : "");
    const auto address = parseEndpoint(o.listen ? o.listen : "127.0.0.1:0");
    if (!which || !address) {
        std::fprintf(stderr, "azurehill-standin: --role or --listen is wrong, see --help\n");
        return 64;
    }
    asio::io_context context(1);
    const auto faults = std::make_shared<fault_state>();
    http_server server(context.get_executor(), {}, withFaults(faults, makeHandler(*which, o)));
    const std::uint16_t port = server.listen(*address);
    if (port == 0 || (o.portFile && !writePort(o.portFile, port))) {
        std::fprintf(stderr, "azurehill-standin: can't listen on %s\n", toText(*address).c_str());
        return 71;
    }
    const auto platform = parseEndpoint(o.platform ? o.platform : "");
    if (platform && o.name && o.service && o.dataCentre) {
        const endpoint self{address->host, port};
        asio::co_spawn(context, registerHost(*platform, self, o), asio::detached);
    }
    context.run();
    return 0;
}

} // namespace

} // namespace azurehill::standin

int main(int argc, const char **argv)
{
    azurehill::standin::options o;
    const poptOption table[] = {
        {"role", 0, POPT_ARG_STRING, &o.role, 0,
         "what to play: platform, engine, tool, plain, replica", "ROLE"},
        {"listen", 0, POPT_ARG_STRING, &o.listen, 0, "address to listen on", "HOST:PORT"},
        {"port-file", 0, POPT_ARG_STRING, &o.portFile, 0, "write the port here", "PATH"},
        {"platform", 0, POPT_ARG_STRING, &o.platform, 0, "enter the host list there", "HOST:PORT"},
        {"name", 0, POPT_ARG_STRING, &o.name, 0, "name in the host list", "NAME"},
        {"service", 0, POPT_ARG_STRING, &o.service, 0, "service in the host list", "NAME"},
        {"data-centre", 0, POPT_ARG_STRING, &o.dataCentre, 0, "data centre in the host list",
         "NAME"},
        {"host-lag-ms", 0, POPT_ARG_INT, &o.hostLagMs, 0, "how late the host list is", "MS"},
        {"token-us", 0, POPT_ARG_INT, &o.tokenUs, 0, "time for one token", "US"},
        {"call-ms", 0, POPT_ARG_INT, &o.callMs, 0, "time for one tool call", "MS"},
        {"ignore-fencing", 0, POPT_ARG_NONE, &o.ignoreFencing, 0, "take orders with old numbers",
         nullptr},
        {"cache-lag-ms", 0, POPT_ARG_INT, &o.cacheLagMs, 0, "how late cache events are", "MS"},
        {"cache-gap-every", 0, POPT_ARG_INT, &o.cacheGapEvery, 0,
         "lose one in so many cache events", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("azurehill-standin", argc, argv, table, 0);
    const int error = poptGetNextOpt(context);
    if (error < -1) {
        std::fprintf(stderr, "azurehill-standin: %s: %s\n", poptBadOption(context, 0),
                     poptStrerror(error));
        return 64;
    }
    const int status = azurehill::standin::run(o);
    poptFreeContext(context);
    return status;
}
