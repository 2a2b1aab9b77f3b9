#include "core/log.h"
#include "daemon/control.h"

namespace azurehill {

namespace {

constexpr duration configPeriod = seconds(1);
constexpr duration hostsPeriod = milliseconds(500);

} // namespace

awaitable<void> control::configLoop()
{
    while (true) {
        co_await readConfig();
        co_await sleepFor(configPeriod);
    }
}

awaitable<void> control::readConfig()
{
    auto rows = co_await m_platform.read(std::vector<std::string>(1, configKey()));
    if (!rows || rows->empty() || rows->front().version <= m_configVersion)
        co_return;
    auto parsed = parseConfiguration(rows->front().value);
    if (!parsed) {
        logEvent(log_level::Error, "config_unreadable", {{"path", parsed.error().front().path}});
        co_return;
    }
    m_config = std::make_shared<const configuration>(std::move(*parsed));
    m_configVersion = rows->front().version;
    logEvent(log_level::Info, "config_adopted",
             {{"version", static_cast<std::int64_t>(m_configVersion)}});
}

awaitable<tl::expected<row_version, platform_error>> control::storeConfig(std::string text,
                                                                          row_version expected)
{
    transaction t;
    t.checks.push_back({configKey(), expected});
    t.puts.push_back({configKey(), std::move(text)});
    auto written = co_await m_platform.transact(std::move(t));
    if (!written)
        co_return tl::unexpected(written.error());
    co_await readConfig();
    co_return written->at(configKey());
}

awaitable<void> control::hostsLoop()
{
    while (true) {
        if (auto hosts = co_await m_platform.hosts()) {
            std::vector<replica> replicas;
            for (const listed_host &h : *hosts)
                replicas.push_back(
                    {{h.name}, h.service, {h.dataCentre}, toText(h.address), h.leaving, 0});
            m_scheduler.setReplicas(replicas, runtime_clock::now());
            performScheduled();
        }
        co_await sleepFor(hostsPeriod);
    }
}

std::vector<replica> control::replicas() const
{
    return m_scheduler.replicas();
}

} // namespace azurehill
