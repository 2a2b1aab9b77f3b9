#include "core/log.h"
#include "daemon/control.h"
#include "http/http_client.h"

#include <algorithm>

namespace azurehill {

namespace {

/// Longest time until an activation is noticed by what presets don't decide.
constexpr duration configStep = milliseconds(100);
constexpr duration hostsPeriod = milliseconds(500);
constexpr duration peerTimeout = milliseconds(300);
constexpr int peersAtATime = 3;
/// What the daemons' calendar clocks may be wrong by, where the platform tells no time.
constexpr duration calendarError = milliseconds(100);
/// A write whose answer is lost is resolved for so long, then reported as unknown.
constexpr duration resolveLimit = seconds(5);
constexpr duration resolvePause = milliseconds(200);
constexpr config_number keptVersions = 50;
constexpr int historyPage = 1000;

tl::unexpected<config_write_error> failed(config_write_failure kind)
{
    return tl::unexpected(config_write_error{kind, std::nullopt});
}

} // namespace

awaitable<void> control::configLoop()
{
    while (true) {
        for (const config_action a : m_follower.poll(runtime_clock::now())) {
            if (a == config_action::ReadStore)
                co_await readConfig();
            else
                co_await askPeers();
        }
        useCurrentConfig();
        const time_point now = runtime_clock::now();
        co_await sleepFor(std::min(configStep, m_follower.nextPollAt(now) - now));
    }
}

awaitable<std::optional<row_version>> control::readConfig()
{
    const time_point sentAt = runtime_clock::now();
    auto answer = co_await m_platform.readTimestamped(std::vector<std::string>(1, configKey()));
    if (!answer)
        co_return std::nullopt;
    const time_point now = runtime_clock::now();
    if (!answer->nowMs)
        m_follower.onTimeSample(now, unixMilliseconds(), calendarError);
    if (answer->rows.empty()) {
        m_follower.onStoreRead(sentAt, now, std::nullopt, answer->nowMs);
        co_return row_version(0);
    }
    auto document = parseConfigDocument(answer->rows.front().value);
    if (!document) {
        logEvent(log_level::Error, "config_unreadable", {{"reason", document.error().reason}});
        co_return std::nullopt;
    }
    m_follower.onStoreRead(sentAt, now, std::move(*document), answer->nowMs);
    useCurrentConfig();
    co_return answer->rows.front().version;
}

void control::useCurrentConfig()
{
    const auto current = m_follower.bestEffortVersion(runtime_clock::now());
    if (!current || current->number == m_configVersion)
        return;
    m_config = current->config;
    m_configVersion = current->number;
    logEvent(log_level::Info, "config_adopted",
             {{"version", static_cast<std::int64_t>(m_configVersion)}, {"id", current->id}});
}

std::vector<endpoint> control::configPeers() const
{
    std::vector<endpoint> peers = m_settings.peers;
    for (const member &m : m_membership.view().members) {
        const auto address = parseEndpoint(m.innerAddress);
        if (address && m.daemon != m_membership.self().daemon)
            peers.push_back(*address);
    }
    return peers;
}

awaitable<void> control::askPeers()
{
    const std::vector<endpoint> peers = configPeers();
    for (int i = 0; i < peersAtATime && !peers.empty(); ++i) {
        const endpoint &peer = peers[m_nextPeer++ % peers.size()];
        http_request request;
        request.target = "/inner/config";
        request.headers.add("Azurehill-Inner-Token", m_settings.innerToken);
        const time_point sentAt = runtime_clock::now();
        const auto response = co_await exchangeOnce(peer, std::move(request), sentAt + peerTimeout);
        if (!response || response->status != 200)
            continue;
        auto answer = parsePeerConfigResponse(response->body);
        if (!answer)
            continue;
        m_follower.onPeerResponse(sentAt, runtime_clock::now(), std::move(*answer));
        if (m_follower.effectiveVersion(runtime_clock::now()))
            co_return;
    }
}

tl::expected<config_version, preset_unavailable_reason> control::configInForce() const
{
    return m_follower.effectiveVersion(runtime_clock::now());
}

tl::expected<preset, preset_unavailable_reason> control::presetInForce() const
{
    return configInForce().map([](const config_version &v) { return v.config->active(); });
}

std::optional<peer_config_response> control::configForPeer() const
{
    return m_follower.makePeerResponse(runtime_clock::now());
}

awaitable<std::optional<config_version>> control::newestConfig()
{
    co_await readConfig();
    co_return m_follower.head();
}

awaitable<platform_client::result<std::vector<config_version>>> control::configHistory()
{
    auto rows = co_await m_platform.scan(configHistoryPrefix(), "", historyPage);
    if (!rows)
        co_return tl::unexpected(rows.error());
    std::vector<config_version> versions;
    for (const table_row &row : *rows) {
        if (auto version = parseConfigVersion(row.value))
            versions.push_back(std::move(*version));
    }
    const auto before
        = [](const config_version &a, const config_version &b) { return a.number < b.number; };
    std::sort(versions.begin(), versions.end(), before);
    co_return versions;
}

transaction control::configTransaction(const config_document &document, row_version there) const
{
    const config_number number = document.head.number;
    transaction t;
    t.checks.push_back({configKey(), there});
    t.puts.push_back({configKey(), toText(document)});
    t.puts.push_back({configHistoryPrefix() + std::to_string(number), toText(document.head)});
    if (number > keptVersions)
        t.deletes.push_back(configHistoryPrefix() + std::to_string(number - keptVersions));
    return t;
}

awaitable<tl::expected<config_version, config_write_error>>
control::storeConfig(std::shared_ptr<const configuration> config, std::string author,
                     config_number expected)
{
    const auto there = co_await readConfig();
    if (!there)
        co_return failed(config_write_failure::Unavailable);
    auto document = m_follower.propose(std::move(config), randomHex(8), std::move(author), expected,
                                       runtime_clock::now());
    if (!document && document.error() == proposal_error::Conflict) {
        co_return tl::unexpected(
            config_write_error{config_write_failure::Conflict, m_follower.head()});
    }
    if (!document && document.error() == proposal_error::TooManyWaiting)
        co_return failed(config_write_failure::TooManyWaiting);
    if (!document)
        co_return failed(config_write_failure::Unavailable);
    transaction t = configTransaction(*document, *there);
    auto stored = co_await writeConfig(std::move(t), document->head);
    co_await readConfig();
    if (!stored && stored.error().kind == config_write_failure::Conflict)
        stored.error().there = m_follower.head();
    logEvent(log_level::Info, "config_change",
             {{"version", static_cast<std::int64_t>(document->head.number)},
              {"id", document->head.id},
              {"author", document->head.author},
              {"stored", stored.has_value()}});
    co_return stored;
}

awaitable<tl::expected<config_version, config_write_error>>
control::writeConfig(transaction t, config_version version)
{
    // A write without an answer may take effect now, later or never, so that its row is absent
    // proves nothing: it is sent again, which can't do harm since it is bound to the version
    // before, until an answer or the row tells which it was.
    const time_point until = runtime_clock::now() + resolveLimit;
    bool unanswered = false;
    while (true) {
        transaction again = t;
        const auto written = co_await m_platform.transact(std::move(again));
        if (written)
            co_return version;
        const platform_error_kind kind = written.error().kind;
        if (kind == platform_error_kind::Unavailable && !unanswered)
            co_return failed(config_write_failure::Unavailable);
        if (kind == platform_error_kind::Unknown)
            unanswered = true;
        if (kind == platform_error_kind::Conflict) {
            const auto mine = co_await isStored(version);
            if (mine && *mine)
                co_return version;
            if (mine)
                co_return failed(config_write_failure::Conflict);
        }
        if (runtime_clock::now() >= until)
            co_return failed(config_write_failure::Unknown);
        co_await sleepFor(resolvePause);
    }
}

awaitable<std::optional<bool>> control::isStored(config_version version)
{
    const std::string key = configHistoryPrefix() + std::to_string(version.number);
    const auto rows = co_await m_platform.read(std::vector<std::string>(1, key));
    if (!rows)
        co_return std::nullopt;
    const auto there = rows->empty()
        ? tl::expected<config_version, config_error>(tl::unexpected(config_error{}))
        : parseConfigVersion(rows->front().value);
    co_return there && there->id == version.id;
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
            m_quarantine.setReplicas(replicas, runtime_clock::now());
            performScheduled();
        }
        co_await sleepFor(hostsPeriod);
    }
}

std::vector<replica> control::replicas() const
{
    return m_scheduler.replicas();
}

std::vector<program> control::programs() const
{
    std::vector<program> result;
    for (const auto &[id, p] : m_book.programs()) {
        program brief;
        brief.id = p.id;
        brief.tenant = p.tenant;
        brief.programClass = p.programClass;
        brief.budgetTokens = p.budgetTokens;
        brief.spentTokens = p.spentTokens;
        brief.lastTurn = p.lastTurn;
        brief.ended = p.ended;
        result.push_back(std::move(brief));
    }
    return result;
}

} // namespace azurehill
