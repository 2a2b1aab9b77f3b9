#pragma once

#include "entry/host_settings.h"
#include "http/http_server.h"
#include "routes/routes.h"

namespace azurehill {

/// \brief Ports of the daemon for HTTP.
enum class daemon_port {
    /// Requests that are forwarded to replicas.
    Clients,
    Lookups,
    Readiness,
    Metrics,
    /// Calls of other daemons.
    Peers
};

/// \returns the limits of \p port of the process with \p settings.
/// \param clients the operator's limits on requests, which hold for the clients' port.
http_limits limitsOf(daemon_port port, const host_settings &settings,
                     const client_limits &clients = {});

/// \returns the account of what all connections of the process with \p settings hold.
std::shared_ptr<memory_account> makeMemoryAccount(const host_settings &settings);

/// \returns whether the process may hold one request at the limits of \p clients.
bool canHoldLargestRequest(const host_settings &settings, const client_limits &clients);

} // namespace azurehill
