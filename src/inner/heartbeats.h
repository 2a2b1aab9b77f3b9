#pragma once

#include "http/http_client.h"
#include "inner/heartbeat.h"
#include "inner/inner_server.h"

#include <map>

namespace azurehill {

/// \brief Sends heartbeats to the other daemons and answers theirs, for the failure detector. Used
/// on the control thread.
class heartbeats
{
public:
    heartbeats(asio::io_context &context, daemon_run self, std::string innerToken,
               failure_detector_settings settings);

    /// \brief Starts the send loop.
    void start();
    void onView(const cell_view &view);
    /// \returns the response to the JSON-RPC \p request of another daemon.
    std::string answer(const std::string &request) { return m_server.answer(request); }
    std::set<daemon_id> suspects() const { return m_detector.suspects(runtime_clock::now()); }
    std::set<daemon_run> refusing() const { return m_detector.refusing(runtime_clock::now()); }

private:
    /// The persistent connection to one daemon. busy while a heartbeat is being exchanged.
    struct peer_link
    {
        explicit peer_link(const asio::any_io_executor &executor) : connection(executor) { }

        http_connection connection;
        bool busy = false;
    };

    awaitable<void> loop();
    awaitable<void> sendHeartbeat(member to, std::shared_ptr<peer_link> link);
    awaitable<bool> exchange(std::shared_ptr<peer_link> link);
    awaitable<bool> connect(member to, std::shared_ptr<peer_link> link);
    http_request makeRequest();
    heartbeat onHeartbeat(const heartbeat &beat);
    void applyHeartbeat(const heartbeat &beat);

    asio::io_context &m_context;
    daemon_run m_self;
    std::string m_innerToken;
    failure_detector m_detector;
    inner_server m_server;
    std::map<daemon_id, std::shared_ptr<peer_link>> m_links;
    std::uint64_t m_lastRequestId = 0;
};

} // namespace azurehill
