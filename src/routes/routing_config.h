#pragma once

/// \file
/// \brief The operator's configuration of routes and services, and the choice of a route.

#include "accounts/accounts.h"
#include "core/core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurehill {

/// \brief Whether requests on a route may be retried, and whether their answers are streams.
enum class route_kind { Idempotent, NonIdempotent, Stream };

template <>
struct enum_names<route_kind>
{
    static constexpr std::array<std::string_view, 3> names
        = {"idempotent", "non_idempotent", "streaming"};
};

/// \brief A service and its share of a route's traffic.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

struct route_rule
{
    std::string name;
    std::string hostname;
    std::string prefix;
    route_kind kind = route_kind::NonIdempotent;
    /// Timeout of a request.
    duration timeout = seconds(30);
    /// Latency objective: time within which an answer has its full value.
    duration latencyObjective = seconds(1);
    /// Maximum gap between the events of a stream that is still on time.
    duration maxEventGap = seconds(1);
    /// Priority; 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Maximum number of replicas to which one request may be sent.
    int maxAttempts = 1;
    /// Whether a request carries only its new input and the prompt is built from the previous
    /// turns.
    bool keepsHistory = false;
    /// How long a turn and its chain are retained.
    duration retention = seconds(0);
    bool sessionAffinity = false;
    /// Whether a stream that broke off may be resumed at a replica after its last complete event.
    bool isResumable = false;
    /// Whether requests need no key.
    bool isPublic = false;

    /// \returns whether a request may be sent to a replica again after it may have run.
    bool isRepeatable() const { return kind == route_kind::Idempotent || isResumable; }
    /// \returns how long the token account of a program is retained after a turn on this route. A
    /// route whose clients keep the history may state no retention time.
    duration accountRetention() const
    {
        constexpr duration defaultRetention = seconds(60);
        return retention > duration::zero() ? retention : defaultRetention;
    }
};

/// \brief Configuration of a service's model engines.
struct engine_rule
{
    int slots = 1;
    std::int64_t cacheTokens = 0;
    int tokensPerEvent = 1;
};

struct service_rule
{
    std::string name;
    std::string healthPath;
    /// Maximum number of connections that one replica accepts from all daemons together.
    int maxConnections = 1;
    std::optional<engine_rule> engine;
};

/// \brief Limits on the requests of clients.
struct client_limits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    duration headerTime = seconds(10);
    duration idleTimeout = seconds(60);
};

/// \brief Routing configuration: one version of the operator's routes, services, client limits and
/// accounts. Immutable.
class routing_config
{
public:
    routing_config(std::uint64_t version, std::vector<route_rule> routes,
                   std::vector<service_rule> services, client_limits limits,
                   account_registry accounts = {});

    std::uint64_t version() const { return m_version; }
    const client_limits &limits() const { return m_limits; }
    const std::vector<route_rule> &routes() const { return m_routes; }
    const account_registry &accounts() const { return m_accounts; }

    /// \returns the route of \p hostname with the longest prefix of \p path, or nothing.
    const route_rule *find(std::string_view hostname, std::string_view path) const;
    std::vector<service_rule> services() const;
    /// \returns the service called \p name, or nothing.
    const service_rule *service(std::string_view name) const;

private:
    std::uint64_t m_version;
    std::vector<route_rule> m_routes;
    std::map<std::string, service_rule, std::less<>> m_services;
    client_limits m_limits;
    account_registry m_accounts;
    /// Indices of the routes of a host by prefix. Prefixes end in a slash, so that a path is looked
    /// up with one search for each of its slashes, however many routes there are.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_byHost;
};

using routing_config_ptr = std::shared_ptr<const routing_config>;

} // namespace azurehill
