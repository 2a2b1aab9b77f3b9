#pragma once

#include "crashes/request_quarantine.h"
#include "http/http_client.h"
#include "replicas/replicas.h"
#include "routes/routes.h"

#include <map>
#include <memory>

namespace azurehill {

/// \brief Asks replicas that lost a send whether their process lives, by a health check that names
/// the process. Used on the traffic thread.
///
/// A connection alone shows nothing: a host accepts it for a process that has stopped, or another
/// process has the address. At most one check of a replica is in progress, however many requests
/// wait for it.
class replica_prober
{
public:
    /// Maximum time of one check.
    static constexpr duration timeout = milliseconds(300);

    replica_prober(asio::any_io_executor executor, const replica_load_balancer &loadBalancer)
        : m_executor(std::move(executor)), m_loadBalancer(loadBalancer)
    { }

    /// \brief Sets the configuration, which names the health check of each service.
    void setRoutes(routing_config_ptr routes) { m_routes = std::move(routes); }
    /// \returns the digests of the listed replicas, sorted.
    std::vector<std::uint64_t> listed() const;

    /// \brief Asks \p replicas, given by their digests, all at the same time.
    /// \returns what was seen of each after at most \c timeout.
    awaitable<std::vector<process_sight>> inquire(std::vector<std::uint64_t> replicas);

private:
    /// \brief A check in progress, and its result.
    struct check
    {
        bool isDone = false;
        process_sight sight = process_sight::Unknown;
        notifier done;
    };
    using check_ptr = std::shared_ptr<check>;

    std::optional<replica_entry> find(std::uint64_t replica) const;
    check_ptr start(std::uint64_t replica);
    awaitable<void> run(std::uint64_t replica, replica_entry entry, check_ptr running);
    awaitable<process_sight> ask(replica_entry entry);

    asio::any_io_executor m_executor;
    const replica_load_balancer &m_loadBalancer;
    routing_config_ptr m_routes;
    std::map<std::uint64_t, check_ptr> m_running;
};

} // namespace azurehill
