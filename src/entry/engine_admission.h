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
/// has a service_gate. Used on the traffic thread.
class engine_admission
{
public:
    engine_admission(asio::any_io_executor executor, const mechanism_set &mechanisms,
                     entry_metrics &metrics);

    /// \brief Makes a gate for \p service if it has none yet.
    void addService(const std::string &service);
    /// \brief Takes in how many replicas may take requests, and grants places that came free.
    void update(const replica_board &board, time_point now);
    /// \returns what this daemon tells the others of its places. Call it once for each round.
    place_words makeReports();
    /// \brief Takes in a round of what the other daemons told.
    /// \param heard the words of those that were heard lately.
    /// \param others the other daemons that live, heard ones included.
    void mergeReports(const std::vector<place_words> &reports, std::size_t otherDaemons);

    /// \brief Waits for a place.
    /// \param times how the call's program stands, if it has an account.
    /// \returns whether the call has one now; always true for services without engines.
    awaitable<bool> admit(entry_call_ptr call, program_times times);
    /// \brief Gives the call's place back, if it has one.
    void release(entry_call &call);
    /// \brief An answer of \p service had its events \p msPerEvent apart.
    void onEventInterval(const std::string &service, double msPerEvent, time_point now);

private:
    /// \brief A request that waits.
    struct queued_request
    {
        explicit queued_request(const asio::any_io_executor &executor) : waitTimer(executor) { }
        timer waitTimer;
        bool granted = false;
    };

    void grant(service_gate &gate);

    asio::any_io_executor m_executor;
    mechanism_set m_mechanisms;
    entry_metrics &m_metrics;
    std::map<std::string, service_gate, std::less<>> m_gates;
    std::map<std::uint64_t, std::shared_ptr<queued_request>> m_waiting;
    std::uint64_t m_lastTicket = 0;
};

} // namespace azurehill
