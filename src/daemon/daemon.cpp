#include "daemon/daemon.h"

#include "core/log.h"
#include "daemon/call_runner.h"
#include "daemon/control.h"
#include "daemon/door.h"
#include "limits/limits.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdio>
#include <thread>

namespace azurehill {

namespace {

constexpr int exitCantListen = 71;
constexpr duration drainStep = milliseconds(20);

bool writePorts(const std::string &path, std::uint16_t port, std::uint16_t innerPort)
{
    const std::string unfinished = path + ".part";
    std::FILE *file = std::fopen(unfinished.c_str(), "w");
    if (!file)
        return false;
    std::fprintf(file, "%u %u\n", port, innerPort);
    return std::fclose(file) == 0 && std::rename(unfinished.c_str(), path.c_str()) == 0;
}

member makeSelf(const settings &s, std::uint16_t port, std::uint16_t innerPort)
{
    return {{s.name},
            randomHex(6),
            toText({s.listen.host, port}),
            toText({s.innerListen.host, innerPort}),
            {s.dataCentre}};
}

/// \brief Lets what is in progress end: look-ups first leave this daemon out, then programs move,
/// then open requests finish.
awaitable<void> drain(control &owner, http_server &outer, http_server &inner,
                      asio::io_context &controlContext, asio::io_context &trafficContext)
{
    logEvent(log_level::Info, "draining");
    co_await owner.drain();
    outer.stopAccepting();
    // Requests of clients make requests to other daemons, so this server closes first.
    while (!outer.closeIfIdle())
        co_await sleepFor(drainStep);
    while (!inner.closeIfIdle())
        co_await sleepFor(drainStep);
    inner.stopAccepting();
    logEvent(log_level::Info, "drained");
    trafficContext.stop();
    controlContext.stop();
}

} // namespace

int runDaemon(const settings &s)
{
    asio::io_context controlContext(1);
    asio::io_context trafficContext(s.trafficThreads);
    const auto trafficExecutor = trafficContext.get_executor();
    control *owner = nullptr;
    door *entry = nullptr;

    const auto memory
        = std::make_shared<memory_account>(limitsFor(s.memoryBytes, 0).connectionBytes);
    http_server outer(
        trafficExecutor, s.limits,
        [&](const http_request &r, response_writer &w) { return entry->serve(r, w); }, memory);
    http_server inner(
        trafficExecutor, s.limits,
        [&](const http_request &r, response_writer &w) { return entry->serveInner(r, w); }, memory);
    const std::uint16_t port = outer.listen(s.listen);
    const std::uint16_t innerPort = inner.listen(s.innerListen);
    if (port == 0 || innerPort == 0) {
        logEvent(log_level::Error, "cant_listen", {{"address", toText(s.listen)}});
        return exitCantListen;
    }

    control state(controlContext, s, makeSelf(s, port, innerPort), [&](running_call call) {
        spawn(asio::make_strand(trafficExecutor), "runCall",
              runCall(*owner, controlContext.get_executor(), std::move(call)));
    });
    owner = &state;
    door api(state, controlContext.get_executor(), s);
    entry = &api;
    state.start();

    asio::signal_set signals(controlContext, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code code, int) {
        if (!code) {
            spawn(controlContext.get_executor(), "drain",
                  drain(state, outer, inner, controlContext, trafficContext));
        }
    });

    const auto keepTraffic = asio::make_work_guard(trafficContext);
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(s.trafficThreads));
    for (int i = 0; i < s.trafficThreads; ++i)
        threads.emplace_back([&] { trafficContext.run(); });
    logEvent(log_level::Info, "listening", {{"port", static_cast<std::int64_t>(port)}});
    if (!s.portFile.empty() && !writePorts(s.portFile, port, innerPort))
        logEvent(log_level::Error, "cant_write_port_file", {{"path", s.portFile}});
    controlContext.run();
    trafficContext.stop();
    for (std::thread &t : threads)
        t.join();
    return 0;
}

} // namespace azurehill
