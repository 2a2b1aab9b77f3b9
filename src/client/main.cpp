// The operators' command line: shows and changes a deployment through any of its daemons.

#include "core/runtime_clock.h"
#include "http/http_client.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace azurehill {

namespace {

constexpr int exitUsage = 64;
constexpr int exitUnavailable = 69;
constexpr duration callTime = seconds(10);

struct options
{
    std::string daemon;
    std::string token;
    /// Version of the configuration that a change is made to; 0 or empty for the first.
    std::string ifVersion;
    std::vector<std::string> words;
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

int printResponse(const http_response &response)
{
    fmt::print(response.status < 300 ? stdout : stderr, "{}\n", response.body);
    return response.status < 300 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int send(const options &o, http_request request)
{
    const auto daemon = parseEndpoint(o.daemon);
    if (!daemon) {
        fmt::print(stderr, "azurehill-ctl: --daemon must be HOST:PORT\n");
        return exitUsage;
    }
    request.headers.add("Authorization", "Bearer " + o.token);
    asio::io_context context(1);
    int status = exitUnavailable;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            const auto response
                = co_await exchangeOnce(*daemon, request, runtime_clock::now() + callTime);
            if (response)
                status = printResponse(*response);
            else
                fmt::print(stderr, "azurehill-ctl: {}\n", response.error().detail);
        },
        asio::detached);
    context.run();
    return status;
}

/// \returns the option as given, or else from the environment; frees popt's copy.
std::string takeOption(char *given, const char *variable)
{
    const char *fallback = std::getenv(variable);
    std::string value = given ? given : (fallback ? fallback : "");
    std::free(given);
    return value;
}

int run(const options &o)
{
    http_request request;
    const auto &w = o.words;
    if (w.size() == 1 && w[0] == "members") {
        request.target = "/operator/members";
        return send(o, request);
    }
    if (w.size() == 2 && w[0] == "config" && w[1] == "show") {
        request.target = "/operator/config";
        return send(o, request);
    }
    if (w.size() == 3 && w[0] == "config" && w[1] == "apply") {
        const auto text = readFile(w[2]);
        if (!text) {
            fmt::print(stderr, "azurehill-ctl: can't read {}\n", w[2]);
            return exitUsage;
        }
        request.method = "PUT";
        request.target = "/operator/config";
        request.headers.add("If-Match", o.ifVersion);
        request.body = *text;
        return send(o, request);
    }
    fmt::print(stderr, "azurehill-ctl: commands: members, config show, config apply FILE\n");
    return exitUsage;
}

} // namespace

} // namespace azurehill

int main(int argc, const char **argv)
{
    char *daemon = nullptr;
    char *token = nullptr;
    char *version = nullptr;
    const poptOption table[] = {
        {"daemon", 0, POPT_ARG_STRING, &daemon, 0, "a daemon to talk to", "HOST:PORT"},
        {"token", 0, POPT_ARG_STRING, &token, 0, "the operators' bearer token", "TEXT"},
        {"if-version", 0, POPT_ARG_STRING, &version, 0, "version that the change is made to", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("azurehill-ctl", argc, argv, table, 0), &poptFreeContext);
    const int error = poptGetNextOpt(context.get());
    if (error < -1) {
        fmt::print(stderr, "azurehill-ctl: {}: {}\n", poptBadOption(context.get(), 0),
                   poptStrerror(error));
        return azurehill::exitUsage;
    }
    azurehill::options o;
    o.daemon = azurehill::takeOption(daemon, "AZUREHILL_DAEMON");
    o.token = azurehill::takeOption(token, "AZUREHILL_TOKEN");
    o.ifVersion = azurehill::takeOption(version, "AZUREHILL_IF_VERSION");
    while (const char *word = poptGetArg(context.get()))
        o.words.emplace_back(word);
    return azurehill::run(o);
}
