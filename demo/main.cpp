// Runs whole agent programs against daemons and compares what came back with the records of the
// stand-ins, which know nothing of the daemons.

#include "demo/demo_program.h"
#include "demo/records.h"
#include "runtime/timer.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <popt.h>

#include <cstdlib>
#include <sstream>

namespace azurehill::demo {

namespace {

/// \brief What the command line says; popt allocates the texts.
struct options
{
    options() = default;
    ~options()
    {
        for (char *text : {entries, engines, tools, token})
            std::free(text);
    }
    options(const options &) = delete;
    options &operator=(const options &) = delete;

    char *entries = nullptr;
    char *engines = nullptr;
    char *tools = nullptr;
    char *token = nullptr;
    int programs = 12;
    int turns = 4;
};

std::vector<endpoint> endpointList(const char *text)
{
    std::vector<endpoint> list;
    std::istringstream in(text ? text : "");
    for (std::string item; std::getline(in, item, ',');) {
        if (const auto e = parseEndpoint(item))
            list.push_back(*e);
    }
    return list;
}

awaitable<void> runAll(demo_settings settings, int programs, std::vector<program_result> &results)
{
    const auto executor = co_await asio::this_coro::executor;
    int running = programs;
    notifier done;
    for (int i = 0; i < programs; ++i) {
        asio::co_spawn(
            executor,
            [&, i]() -> awaitable<void> {
                results[static_cast<std::size_t>(i)] = co_await runProgram(settings, i);
                --running;
                done.notifyAll();
            },
            asio::detached);
    }
    while (running > 0)
        co_await done.waitForChangeSince(done.version());
}

int run(const options &o)
{
    demo_settings settings{endpointList(o.entries), o.token ? o.token : "", o.turns};
    const auto engines = endpointList(o.engines);
    const auto tools = endpointList(o.tools);
    if (settings.entries.empty() || engines.empty() || tools.empty()) {
        fmt::print(stderr, "azurehill-demo: --entries, --engines and --tools are needed\n");
        return 64;
    }
    asio::io_context context(1);
    std::vector<program_result> results(static_cast<std::size_t>(o.programs));
    upstream_records records;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            co_await runAll(settings, o.programs, results);
            records = co_await readRecords(engines, tools);
        },
        asio::detached);
    context.run();

    const demo_summary sum = summarize(results, records);
    fmt::print("{:<24}{:>10}\n", "model turns", sum.modelTurns);
    fmt::print("{:<24}{:>10}\n", "tool and service calls", sum.serviceCalls);
    fmt::print("{:<24}{:>10}\n", "calls asked again", sum.repeats);
    fmt::print("{:<24}{:>7.0f} ms\n", "program time, median", sum.medianMs);
    fmt::print("{:<24}{:>7.0f} ms\n", "program time, longest", sum.longestMs);
    for (const std::string &fault : sum.faults)
        fmt::print("  {}\n", fault);
    fmt::print("demo: {} programs, {} turns, {} lost, {} duplicated\n", o.programs,
               sum.modelTurns + sum.serviceCalls, sum.lost, sum.duplicated);
    return sum.lost == 0 && sum.duplicated == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace azurehill::demo

int main(int argc, const char **argv)
{
    azurehill::demo::options o;
    const poptOption table[] = {
        {"entries", 0, POPT_ARG_STRING, &o.entries, 0, "daemons to ask first", "HOST:PORT,..."},
        {"engines", 0, POPT_ARG_STRING, &o.engines, 0, "engine stand-ins", "HOST:PORT,..."},
        {"tools", 0, POPT_ARG_STRING, &o.tools, 0, "tool and service stand-ins", "HOST:PORT,..."},
        {"token", 0, POPT_ARG_STRING, &o.token, 0, "the tenant's bearer token", "TEXT"},
        {"programs", 0, POPT_ARG_INT, &o.programs, 0, "programs to run at once", "N"},
        {"turns", 0, POPT_ARG_INT, &o.turns, 0, "rounds of calls in each program", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("azurehill-demo", argc, argv, table, 0);
    const int error = poptGetNextOpt(context);
    if (error < -1) {
        fmt::print(stderr, "azurehill-demo: {}: {}\n", poptBadOption(context, 0),
                   poptStrerror(error));
        return 64;
    }
    const int status = azurehill::demo::run(o);
    poptFreeContext(context);
    return status;
}
