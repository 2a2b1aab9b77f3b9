#include "core/log_event.h"
#include "core/log_sink.h"
#include "entry/entry_control.h"
#include "entry/entry_metrics.h"
#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "entry/entry_shutdown.h"
#include "entry/port_limits.h"
#include "platform/settings_file.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <thread>
#include <unistd.h>

namespace azurehill {

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCantListen = 71;

constexpr duration settingsPollInterval = seconds(2);

/// \brief Reloads the settings file when it has changed. It may change without a signal, so it is
/// also read periodically.
class settings_watch
{
public:
    /// \param onSettings called with settings that have changed, or were announced by a signal.
    settings_watch(std::string text, std::function<void(const host_settings &)> onSettings)
        : m_text(std::move(text)), m_onSettings(std::move(onSettings))
    { }

    void check(bool signalled)
    {
        const auto text = loadSettingsText();
        if (!text) {
            logDecision(log_event::BadSettings, {{"detail", text.error()}});
            return;
        }
        if (*text == m_text && !signalled)
            return;
        const auto settings = readSettingsText(*text);
        if (!settings) {
            logDecision(log_event::BadSettings, {{"detail", settings.error()}});
            return;
        }
        logDecision(log_event::Reloaded, {{"changed", *text != m_text}, {"signal", signalled}});
        m_text = *text;
        m_onSettings(*settings);
    }

private:
    std::string m_text;
    std::function<void(const host_settings &)> m_onSettings;
};

awaitable<void> watchSettings(settings_watch &watch)
{
    while (true) {
        co_await sleepFor(settingsPollInterval);
        watch.check(false);
    }
}

awaitable<void> awaitHangups(asio::signal_set &signals, settings_watch &watch)
{
    while (true) {
        co_await signals.async_wait(use_awaitable);
        watch.check(true);
    }
}

/// \brief Writes the log to standard output on a thread of its own during its lifetime.
class stdout_log
{
public:
    stdout_log()
    {
        setLogSink(m_sink);
        m_thread = std::thread([sink = m_sink] { sink->run(); });
    }
    ~stdout_log()
    {
        // A stalled reader must not keep the process from ending: the thread is then detached
        // together with the sink, which is never destroyed.
        constexpr duration flushTime = milliseconds(300);
        if (m_sink->stop(flushTime))
            m_thread.join();
        else
            m_thread.detach();
    }
    stdout_log(const stdout_log &) = delete;
    stdout_log &operator=(const stdout_log &) = delete;

private:
    log_sink *m_sink = new log_sink(STDOUT_FILENO, {});
    std::thread m_thread;
};

/// \brief Writes the ports to a temporary file that is then renamed, so that no reader sees a part
/// of them.
void writePorts(const std::string &path, std::uint16_t clientPort, const control_ports &ports)
{
    const std::string temporaryPath = path + ".part";
    std::ofstream file(temporaryPath);
    fmt::print(file, "{} {} {} {}\n", clientPort, ports.readiness, ports.lookups, ports.peers);
    file.close();
    if (!file || std::rename(temporaryPath.c_str(), path.c_str()) != 0)
        logDecision(log_event::ListenFailed, {{"detail", "can't write " + path}});
}

constexpr std::string_view quarantinePath = "/quarantine";

/// \brief Answers an operator's request for the list of quarantined requests (GET), or to lift the
/// quarantine of one (DELETE, with its fingerprint as the last part of the path).
awaitable<http_response> answerQuarantine(entry_service &service, asio::any_io_executor traffic,
                                          const http_request &request)
{
    if (request.method == "GET" && request.path() == quarantinePath) {
        auto list = [&service] { return service.quarantineText(); };
        std::string text = co_await runOn(traffic, list);
        co_return jsonResponse(200, std::move(text));
    }
    const std::string_view rest = request.path().substr(quarantinePath.size());
    const auto fingerprint = rest.empty() ? std::nullopt : parseFingerprint(rest.substr(1));
    if (request.method != "DELETE" || !fingerprint)
        co_return jsonResponse(400,
                               R"({"error":"GET /quarantine or DELETE /quarantine/FINGERPRINT"})");
    auto lift = [&service, fingerprint] { return service.liftQuarantine(*fingerprint); };
    const bool isKnown = co_await runOn(traffic, lift);
    co_return jsonResponse(isKnown ? 200 : 404, "{}");
}

/// \brief What the operators' port answers from.
struct operator_view
{
    entry_metrics &metrics;
    const entry_control &control;
    entry_service &service;
    asio::any_io_executor traffic;
};

awaitable<void> answerOperator(operator_view view, const http_request &request,
                               response_writer &writer)
{
    http_response response;
    if (request.path().starts_with(quarantinePath)) {
        response = co_await answerQuarantine(view.service, view.traffic, request);
    } else if (request.path() == "/metrics") {
        entry_gauges gauges = view.control.gauges();
        if (const log_sink *sink = currentLogSink())
            gauges.logLinesDropped = sink->dropped();
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        response.body = view.metrics.toText(gauges);
    } else {
        response.status = 404;
    }
    co_await writer.write(std::move(response));
}

/// \brief Stops the daemon, and ends the event loops of both threads.
awaitable<void> shutDown(entry_control &control, entry_service &service,
                         asio::io_context &controlContext, asio::io_context &trafficContext)
{
    entry_shutdown shutdown(control, service, trafficContext.get_executor());
    co_await shutdown.run(control.grace());
    trafficContext.stop();
    controlContext.stop();
}

int run(const host_settings &s, const std::string &settingsText, const entry_options &options)
{
    asio::io_context controlContext(1);
    asio::io_context trafficContext(1);
    entry_metrics metrics;
    const std::shared_ptr<memory_account> memory = makeMemoryAccount(s);
    entry_service service(trafficContext, s, metrics, memory);
    control_events events;
    events.onRoutes = [&](const routing_config_ptr &routes) {
        asio::post(trafficContext, [&service, routes] { service.setRoutes(routes); });
    };
    events.onReplicas = [&](std::vector<replica_entry> listed) {
        asio::post(trafficContext, [&service, l = std::move(listed)] { service.setReplicas(l); });
    };
    events.onReplicasOutdated = [&](bool isOutdated) {
        asio::post(trafficContext,
                   [&service, isOutdated] { service.setReplicasOutdated(isOutdated); });
    };
    events.onPeers = [&](std::vector<endpoint> peers, int alive) {
        asio::post(trafficContext,
                   [&service, p = std::move(peers), alive] { service.setPeers(p, alive); });
    };
    events.onMembers = [&](member_state self, std::vector<member_state> others) {
        asio::post(trafficContext, [&service, s = std::move(self), o = std::move(others)] {
            service.setMembers(s, o);
        });
    };
    events.onAdmissionReports = [&](std::vector<concurrency_reports> reports) {
        asio::post(trafficContext,
                   [&service, o = std::move(reports)] { service.mergeAdmissionReports(o); });
    };
    events.onReplicaReports = [&](std::vector<replica_reports> reports) {
        asio::post(trafficContext,
                   [&service, o = std::move(reports)] { service.mergeReplicaReports(o); });
    };
    entry_control control(controlContext, s, std::move(events), memory);
    service.onAdmissionReports([&](concurrency_reports report) {
        asio::post(controlContext,
                   [&control, w = std::move(report)] { control.setAdmissionReport(w); });
    });
    service.onReplicaReports([&](replica_reports report) {
        asio::post(controlContext,
                   [&control, w = std::move(report)] { control.setReplicaReport(w); });
    });
    service.onQuarantineRestored(
        [&] { asio::post(controlContext, [&control] { control.setQuarantineRestored(); }); });
    const operator_view view{metrics, control, service, trafficContext.get_executor()};
    http_server metricsServer(
        controlContext.get_executor(), limitsOf(daemon_port::Metrics, s),
        [&view](const http_request &request, response_writer &writer) {
            return answerOperator(view, request, writer);
        },
        memory);
    if (options.metricsPort != 0 && metricsServer.listen({s.ip, options.metricsPort}) == 0)
        logDecision(log_event::ListenFailed,
                    {{"ip", s.ip}, {"port", std::int64_t(options.metricsPort)}});
    const std::uint16_t clientPort = service.start();
    const auto ports = control.start();
    if (clientPort == 0 || !ports) {
        logDecision(log_event::ListenFailed, {{"ip", s.ip}});
        return exitCantListen;
    }
    asio::signal_set signals(controlContext, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code code, int) {
        if (!code) {
            spawn(controlContext.get_executor(), "shutDown",
                  shutDown(control, service, controlContext, trafficContext));
        }
    });
    settings_watch watch(settingsText, [&](const host_settings &settings) {
        control.setSettings(settings);
        metricsServer.setLimits(limitsOf(daemon_port::Metrics, settings));
        asio::post(trafficContext, [&service, settings] { service.setSettings(settings); });
    });
    asio::signal_set hangups(controlContext, SIGHUP);
    spawn(controlContext.get_executor(), "awaitHangups", awaitHangups(hangups, watch));
    spawn(controlContext.get_executor(), "watchSettings", watchSettings(watch));
    if (!options.portFile.empty())
        writePorts(options.portFile, clientPort, *ports);
    logDecision(
        log_event::Started,
        {{"daemon", s.name.value}, {"ip", s.ip}, {"without", s.mechanisms.disabledNames()}});
    const auto keepTraffic = asio::make_work_guard(trafficContext);
    std::thread traffic([&] { trafficContext.run(); });
    controlContext.run();
    trafficContext.stop();
    traffic.join();
    return 0;
}

} // namespace

} // namespace azurehill

int main(int argc, const char **argv)
{
    const azurehill::entry_options options = azurehill::readEntryOptions(argc, argv);
    if (!options.fault.empty()) {
        fmt::print(stderr, "azurehill-entry: {}\n", options.fault);
        return azurehill::exitBadSettings;
    }
    if (!options.printAndExit.empty()) {
        fmt::print("{}", options.printAndExit);
        return 0;
    }
    const azurehill::stdout_log log;
    const auto text = azurehill::loadSettingsText();
    if (!text) {
        azurehill::logDecision(azurehill::log_event::BadSettings, {{"detail", text.error()}});
        return azurehill::exitBadSettings;
    }
    auto settings = azurehill::readSettingsText(*text);
    if (!settings) {
        azurehill::logDecision(azurehill::log_event::BadSettings, {{"detail", settings.error()}});
        return azurehill::exitBadSettings;
    }
    settings->mechanisms = options.mechanisms;
    return azurehill::run(*settings, *text, options);
}
