#pragma once

#include "entry/entry_call.h"
#include "entry/entry_metrics.h"
#include "replicas/replicas.h"
#include "turns/turns.h"

#include <map>
#include <memory>
#include <string>

namespace azurehill {

/// \brief Admission controller for the engines: queues requests until their service has capacity.
/// Each service with engines has a concurrency_limiter. Used on the traffic thread.
class engine_admission
{
public:
    engine_admission(asio::any_io_executor executor, const mechanism_set &mechanisms,
                     entry_metrics &metrics);

    /// \brief Adds a concurrency_limiter for \p service if it has none yet.
    void addService(const std::string &service);
    /// \brief Updates how many replicas may take requests, and admits requests for which capacity
    /// became free.
    void update(const replica_load_balancer &loadBalancer, time_point now);
    /// \returns this daemon's admission report for the other daemons. To be called once per gossip
    /// round.
    concurrency_reports makeReports();
    /// \brief Merges a round of admission reports of the other daemons.
    /// \param reports recent reports.
    /// \param otherDaemons number of the other live daemons, including those that reported.
    void mergeReports(const std::vector<concurrency_reports> &reports, std::size_t otherDaemons);

    /// \brief Waits until \p call is admitted.
    /// \param times time limits of the call's program, if it has an account.
    /// \returns whether the call was admitted; always true for services without engines.
    awaitable<bool> admit(entry_call_ptr call, program_timing times);
    /// \brief Counts \p call, which a dispatcher has admitted, as admitted.
    void countAdmitted(entry_call &call);
    /// \brief Releases the capacity that the call holds, if any.
    void release(entry_call &call);
    /// \brief Records that the events of an answer of \p service were \p msPerEvent apart.
    void onEventInterval(const std::string &service, double msPerEvent, time_point now);

private:
    /// \brief A request that waits for admission.
    struct queued_request
    {
        explicit queued_request(const asio::any_io_executor &executor) : waitTimer(executor) { }
        timer waitTimer;
        bool granted = false;
    };

    void grant(concurrency_limiter &serviceLimiter);

    asio::any_io_executor m_executor;
    mechanism_set m_mechanisms;
    entry_metrics &m_metrics;
    std::map<std::string, concurrency_limiter, std::less<>> m_serviceLimiters;
    std::map<std::uint64_t, std::shared_ptr<queued_request>> m_waiting;
    std::uint64_t m_lastTicket = 0;
};

} // namespace azurehill
