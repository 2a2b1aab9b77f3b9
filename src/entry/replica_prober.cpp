#include "entry/replica_prober.h"

#include "core/log_event.h"
#include "platform/ingress.h"
#include "runtime/runtime.h"

#include <algorithm>
#include <iterator>

namespace azurehill {

namespace {

constexpr std::string_view defaultHealthPath = "/health";

} // namespace

std::vector<std::uint64_t> replica_prober::listed() const
{
    std::vector<std::uint64_t> digests;
    m_loadBalancer.forEachEntry(
        [&](const replica_entry &entry) { digests.push_back(digestOf(entry.incarnation)); });
    std::sort(digests.begin(), digests.end());
    return digests;
}

std::optional<replica_entry> replica_prober::find(std::uint64_t replica) const
{
    std::optional<replica_entry> found;
    m_loadBalancer.forEachEntry([&](const replica_entry &entry) {
        if (digestOf(entry.incarnation) == replica)
            found = entry;
    });
    return found;
}

awaitable<std::vector<process_sight>> replica_prober::inquire(std::vector<std::uint64_t> replicas)
{
    std::vector<check_ptr> checks;
    std::transform(replicas.begin(), replicas.end(), std::back_inserter(checks),
                   [this](std::uint64_t replica) { return start(replica); });
    std::vector<process_sight> seen;
    seen.reserve(checks.size());
    for (const check_ptr &one : checks) {
        if (!one->isDone)
            co_await one->done.waitForChangeSince(0);
        seen.push_back(one->sight);
    }
    co_return seen;
}

replica_prober::check_ptr replica_prober::start(std::uint64_t replica)
{
    const auto running = m_running.find(replica);
    if (running != m_running.end())
        return running->second;
    auto started = std::make_shared<check>();
    std::optional<replica_entry> entry = find(replica);
    if (!entry) {
        started->isDone = true;
        return started;
    }
    m_running.emplace(replica, started);
    spawn(m_executor, "probeReplica", run(replica, std::move(*entry), started));
    return started;
}

awaitable<void> replica_prober::run(std::uint64_t replica, replica_entry entry, check_ptr running)
{
    const std::string id = entry.incarnation.id.value;
    running->sight = co_await ask(std::move(entry));
    running->isDone = true;
    m_running.erase(replica);
    logDecision(log_event::ReplicaProbed,
                {{"replica", id}, {"sight", std::string(toName(running->sight))}});
    running->done.notifyAll();
}

awaitable<process_sight> replica_prober::ask(replica_entry entry)
{
    const service_rule *const service = m_routes ? m_routes->service(entry.service) : nullptr;
    const std::string path(service ? std::string_view(service->healthPath) : defaultHealthPath);
    const time_point deadline = runtime_clock::now() + timeout;
    http_connection connection(m_executor);
    const auto connected = co_await connection.connect(entry.address, deadline);
    if (!connected)
        co_return process_sight::Unknown;
    http_request probe = encodeHealthCheck(path, entry.incarnation.id);
    const auto head = co_await connection.sendAndReadHead(std::move(probe), deadline);
    if (!head)
        co_return process_sight::Unknown;
    co_return isFromReplica(*head, entry.incarnation.id) ? process_sight::Alive
                                                         : process_sight::Replaced;
}

} // namespace azurehill
