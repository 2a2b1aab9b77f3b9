#include "entry/entry_control.h"
#include "entry/entry_service.h"
#include "platform/settings_file.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <thread>

namespace azurehill {

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCantListen = 71;

/// Callers keep a look-up for its time to live, some three times as long; after that nobody comes
/// any more who could know better.
constexpr duration staleLookups = milliseconds(3500);
/// Share of the grace time after which the process ends in any case.
constexpr double graceShare = 0.8;
constexpr duration drainStep = milliseconds(50);

awaitable<void> shutDown(entry_control &control, entry_service &service, const host_settings &s,
                         asio::io_context &controlContext, asio::io_context &trafficContext)
{
    logEvent(log_level::Info, "stopping", {{"in_progress", service.requestsInProgress()}});
    const time_point began = runtime_clock::now();
    control.leave();
    asio::post(trafficContext, [&service] { service.announceClose(); });
    co_await control.unregister();
    const auto latest = std::chrono::duration_cast<duration>(s.grace * graceShare);
    const duration stale = std::min<duration>(staleLookups, latest);
    int quietSteps = 0;
    constexpr int enoughQuietSteps = 4;
    while (runtime_clock::now() < began + latest) {
        quietSteps = service.requestsInProgress() == 0 ? quietSteps + 1 : 0;
        if (runtime_clock::now() > began + stale && quietSteps >= enoughQuietSteps)
            break;
        co_await sleepFor(drainStep);
    }
    logEvent(log_level::Info, "stopped",
             {{"in_progress", service.requestsInProgress()},
              {"ms", toMilliseconds(runtime_clock::now() - began)}});
    trafficContext.stop();
    controlContext.stop();
}

constexpr duration settingsPause = seconds(2);

/// \brief Takes over the settings file whenever it has changed: it may change without a signal, so
/// it is read again now and then.
class settings_watch
{
public:
    settings_watch(std::string text, entry_control &control)
        : m_text(std::move(text)), m_control(control)
    { }

    void check(bool signalled)
    {
        const auto text = loadSettingsText();
        if (!text) {
            logEvent(log_level::Error, "settings_unreadable", {{"detail", text.error()}});
            return;
        }
        if (*text == m_text && !signalled)
            return;
        const auto settings = readSettingsText(*text);
        if (!settings) {
            logEvent(log_level::Error, "bad_settings", {{"detail", settings.error()}});
            return;
        }
        logEvent(log_level::Info, "reloaded",
                 {{"changed", *text != m_text}, {"signal", signalled}});
        m_text = *text;
        m_control.setSettings(*settings);
    }

private:
    std::string m_text;
    entry_control &m_control;
};

awaitable<void> watchSettings(settings_watch &watch)
{
    while (true) {
        co_await sleepFor(settingsPause);
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

int run(const host_settings &s, const std::string &settingsText)
{
    asio::io_context controlContext(1);
    asio::io_context trafficContext(1);
    entry_service service(trafficContext, s);
    control_events events;
    events.onRoutes = [&](route_book_ptr routes) {
        asio::post(trafficContext, [&service, routes] { service.setRoutes(routes); });
    };
    events.onReplicas = [&](std::vector<replica_entry> listed) {
        asio::post(trafficContext,
                   [&service, l = std::move(listed)] { service.setReplicas(l); });
    };
    events.onPeers = [&](std::vector<endpoint> peers, int alive) {
        asio::post(trafficContext,
                   [&service, p = std::move(peers), alive] { service.setPeers(p, alive); });
    };
    entry_control control(controlContext, s, std::move(events));
    if (!service.start() || !control.start()) {
        logEvent(log_level::Error, "cant_listen", {{"ip", s.ip}});
        return exitCantListen;
    }
    asio::signal_set signals(controlContext, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code code, int) {
        if (!code) {
            spawn(controlContext.get_executor(), "shutDown",
                  shutDown(control, service, s, controlContext, trafficContext));
        }
    });
    settings_watch watch(settingsText, control);
    asio::signal_set hangups(controlContext, SIGHUP);
    spawn(controlContext.get_executor(), "awaitHangups", awaitHangups(hangups, watch));
    spawn(controlContext.get_executor(), "watchSettings", watchSettings(watch));
    logEvent(log_level::Info, "started", {{"daemon", s.name.value}, {"ip", s.ip}});
    const auto keepTraffic = asio::make_work_guard(trafficContext);
    std::thread traffic([&] { trafficContext.run(); });
    controlContext.run();
    trafficContext.stop();
    traffic.join();
    return 0;
}

} // namespace

} // namespace azurehill

int main()
{
    const auto text = azurehill::loadSettingsText();
    if (!text) {
        azurehill::logEvent(azurehill::log_level::Error, "settings_unreadable",
                            {{"detail", text.error()}});
        return azurehill::exitBadSettings;
    }
    const auto settings = azurehill::readSettingsText(*text);
    if (!settings) {
        azurehill::logEvent(azurehill::log_level::Error, "bad_settings",
                            {{"detail", settings.error()}});
        return azurehill::exitBadSettings;
    }
    return azurehill::run(*settings, *text);
}
