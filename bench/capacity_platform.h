#pragma once

#include "daemon/control.h"
#include "http/http_server.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace azurehill::bench {

/// \brief What a request to the platform is about.
enum class traffic_kind { View, Lease, Journal, Config, Hosts, Other };

} // namespace azurehill::bench

namespace azurehill {

template <>
struct enum_names<bench::traffic_kind>
{
    static constexpr std::array<std::string_view, 6> names
        = {"view", "lease", "journal", "config", "hosts", "other"};
};

} // namespace azurehill

namespace azurehill::bench {

/// \brief Requests and bytes that the platform saw.
struct traffic
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t bytes = 0;

    friend traffic operator-(const traffic &a, const traffic &b)
    {
        return {a.reads - b.reads, a.writes - b.writes, a.bytes - b.bytes};
    }
};

using traffic_by_kind = std::array<traffic, enum_names<traffic_kind>::names.size()>;

/// \returns the sum over all kinds.
traffic total(const traffic_by_kind &kinds);
traffic_by_kind operator-(const traffic_by_kind &a, const traffic_by_kind &b);

/// \brief The platform's stand-in on a thread of its own, counting what daemons ask of it.
class counted_platform
{
public:
    /// \param tenants number of tenants in the configuration it holds.
    /// \param replicas number of hosts in its list.
    counted_platform(int tenants, int replicas);
    ~counted_platform();
    counted_platform(const counted_platform &) = delete;
    counted_platform &operator=(const counted_platform &) = delete;

    endpoint address() const { return {"127.0.0.1", m_port}; }
    traffic_by_kind counts() const;

private:
    struct counter
    {
        std::atomic<std::int64_t> reads = 0;
        std::atomic<std::int64_t> writes = 0;
        std::atomic<std::int64_t> bytes = 0;
    };

    awaitable<void> serve(const http_request &request, response_writer &writer);
    awaitable<void> fill(int tenants, int replicas);

    asio::io_context m_context{1};
    std::array<counter, enum_names<traffic_kind>::names.size()> m_counters;
    request_handler m_platform;
    http_server m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

/// \brief Control states of several daemons on one thread, without doors or upstreams.
class control_group
{
public:
    /// \param first number of the first daemon's name.
    control_group(const counted_platform &platform, int first, int count);
    ~control_group();
    control_group(const control_group &) = delete;
    control_group &operator=(const control_group &) = delete;

    /// \brief Runs \p task on the control thread. \returns its result.
    template <class Task>
    auto ask(Task task)
    {
        std::packaged_task<std::invoke_result_t<Task>()> packaged(std::move(task));
        auto result = packaged.get_future();
        // Asio treats a packaged_task itself specially, so it is wrapped.
        asio::post(m_context, [&packaged] { packaged(); });
        return result.get();
    }

    /// \brief Waits until every daemon serves programs under a view with \p members.
    /// \returns whether that came about before \p limit had passed.
    bool waitUntilReady(duration limit, std::size_t members);
    bool waitUntilReady(duration limit) { return waitUntilReady(limit, m_daemons.size()); }
    /// \brief Stores a configuration through the first daemon and waits until all have it.
    /// \returns the seconds between the accepted write and the last adoption, below zero when it
    /// was not accepted.
    double changeConfiguration(int tenants);
    /// \returns processor seconds of the control thread so far.
    double processorSeconds();
    /// \brief Makes each daemon create \p programs and run \p turns of each, and waits for the end.
    void runPrograms(int programs, int turns);
    /// \brief Starts turns at \p perSecond on each daemon until the group ends.
    void startTurns(double perSecond);
    std::int64_t turnsDone() const { return m_turnsDone; }

    std::vector<std::unique_ptr<control>> &daemons() { return m_daemons; }

private:
    awaitable<void> endCall(control &owner, running_call call);
    awaitable<void> runTurn(control &owner, program_id id, std::int64_t turn);
    awaitable<void> runProgram(control &owner, int turns);
    awaitable<void> keepTurning(control &owner, double perSecond);

    asio::io_context m_context{1};
    std::vector<std::unique_ptr<control>> m_daemons;
    std::atomic<std::int64_t> m_turnsDone = 0;
    std::atomic<int> m_programsLeft = 0;
    std::thread m_thread;
};

} // namespace azurehill::bench
