#include "inner/heartbeats.h"

#include "core/log.h"
#include "runtime/runtime.h"

namespace azurehill {

namespace {

constexpr duration sendPeriod = milliseconds(50);
/// Time after which an unanswered heartbeat counts as lost and its connection is closed.
constexpr duration responseTimeout = milliseconds(700);

} // namespace

heartbeats::heartbeats(asio::io_context &context, daemon_run self, std::string innerToken,
                       failure_detector_settings settings)
    : m_context(context), m_self(std::move(self)), m_innerToken(std::move(innerToken)),
      m_detector(m_self.daemon, settings),
      m_server([this](const heartbeat &beat) { return onHeartbeat(beat); })
{ }

void heartbeats::start()
{
    spawn(m_context.get_executor(), "heartbeats", loop());
}

void heartbeats::onView(const cell_view &view)
{
    m_detector.onView(view, runtime_clock::now());
    std::erase_if(m_links, [&](const auto &entry) { return !view.find(entry.first); });
}

awaitable<void> heartbeats::loop()
{
    while (true) {
        for (const member &to : m_detector.poll(runtime_clock::now())) {
            std::shared_ptr<peer_link> &l = m_links[to.daemon];
            if (!l)
                l = std::make_shared<peer_link>(m_context.get_executor());
            if (!l->busy)
                spawn(m_context.get_executor(), "heartbeat", sendHeartbeat(to, l));
        }
        co_await sleepFor(sendPeriod);
    }
}

awaitable<void> heartbeats::sendHeartbeat(member to, std::shared_ptr<peer_link> link)
{
    link->busy = true;
    const bool pooled = link->connection.isReusable();
    bool answered = false;
    if (pooled)
        answered = co_await exchange(link);
    if (pooled && !answered)
        logEvent(log_level::Warning, "connection_replaced", {{"daemon", to.daemon.value}});
    // An established connection can be lost without a FIN or RST while new ones work, so only a new
    // connection shows whether the daemon is alive.
    bool isReconnected = false;
    if (!answered)
        isReconnected = co_await connect(to, link);
    if (isReconnected)
        co_await exchange(link);
    link->busy = false;
}

awaitable<bool> heartbeats::connect(member to, std::shared_ptr<peer_link> link)
{
    link->connection = http_connection(m_context.get_executor());
    const endpoint peer = parseEndpoint(to.innerAddress).value_or(endpoint{});
    const time_point deadline = runtime_clock::now() + responseTimeout;
    const auto connected = co_await link->connection.connect(peer, deadline);
    if (connected)
        co_return true;
    const auto refused = asio::error::make_error_code(asio::error::connection_refused);
    if (connected.error().detail == refused.message())
        m_detector.onRefused({to.daemon, to.incarnation}, runtime_clock::now());
    co_return false;
}

awaitable<bool> heartbeats::exchange(std::shared_ptr<peer_link> link)
{
    http_request request = makeRequest();
    const time_point deadline = runtime_clock::now() + responseTimeout;
    const auto response = co_await link->connection.exchange(std::move(request), deadline);
    if (!response || response->status != 200) {
        link->connection.close();
        co_return false;
    }
    if (const auto beat = decodeResponse(response->body))
        applyHeartbeat(*beat);
    co_return true;
}

http_request heartbeats::makeRequest()
{
    http_request request;
    request.method = "POST";
    request.target = "/inner/rpc";
    request.headers.add("Azurehill-Inner-Token", m_innerToken);
    request.headers.add("Content-Type", "application/json");
    request.body
        = encodeRequest({m_self, m_detector.evidence(runtime_clock::now())}, ++m_lastRequestId);
    return request;
}

heartbeat heartbeats::onHeartbeat(const heartbeat &beat)
{
    applyHeartbeat(beat);
    return {m_self, m_detector.evidence(runtime_clock::now())};
}

void heartbeats::applyHeartbeat(const heartbeat &beat)
{
    const time_point now = runtime_clock::now();
    m_detector.onSign(beat.from, now);
    m_detector.onEvidence(beat.evidence, now);
}

} // namespace azurehill
