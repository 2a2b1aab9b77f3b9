#pragma once

#include "entry/entry_call.h"
#include "entry/entry_metrics.h"
#include "replicas/replicas.h"
#include "turns/turns.h"

#include <map>
#include <memory>
#include <string>

namespace azurehill {

/// \brief Lets requests wait for a place at the engines of their service. Each service with engines
/// has a concurrency_limiter. Used on the traffic thread.
class engine_admission
{
public:
    engine_admission(asio::any_io_executor executor, const mechanism_set &mechanisms,
                     entry_metrics &metrics);

    /// \brief Makes a gate for \p service if it has none yet.
    void addService(const std::string &service);
    /// \brief Takes in how many replicas may take requests, and grants places that came free.
    void update(const replica_load_balancer &board, time_point now);
    /// \returns what this daemon tells the others of its places. Call it once for each round.
    concurrency_reports tell();
    /// \brief Takes in a round of what the other daemons told.
    /// \param heard the words of those that were heard lately.
    /// \param others the other daemons that live, heard ones included.
    void hear(const std::vector<concurrency_reports> &heard, std::size_t others);

    /// \brief Waits for a place.
    /// \param times how the call's program stands, if it has an account.
    /// \returns whether the call has one now; always true for services without engines.
    awaitable<bool> enter(entry_call_ptr call, program_timing times);
    /// \brief Gives the call's place back, if it has one.
    void leave(entry_call &call);
    /// \brief An answer of \p service had its events \p msPerEvent apart.
    void onPace(const std::string &service, double msPerEvent, time_point now);

private:
    /// \brief A request that waits.
    struct queued_request
    {
        explicit queued_request(const asio::any_io_executor &executor) : alarm(executor) { }
        timer alarm;
        bool granted = false;
    };

    void grant(concurrency_limiter &gate);

    asio::any_io_executor m_executor;
    mechanism_set m_mechanisms;
    entry_metrics &m_metrics;
    std::map<std::string, concurrency_limiter, std::less<>> m_gates;
    std::map<std::uint64_t, std::shared_ptr<queued_request>> m_waiting;
    std::uint64_t m_lastTicket = 0;
};

} // namespace azurehill
