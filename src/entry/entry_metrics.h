#pragma once

#include "core/core.h"
#include "dispatch/program_dispatcher.h"

#include <memory>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief The phases of a request whose time is measured.
enum class request_phase { Store, Admission, FirstByte, Events, Durable, Total };

template <>
struct enum_names<request_phase>
{
    static constexpr std::array<std::string_view, 6> names
        = {"store", "place", "first_byte", "events", "durable", "whole"};
};

/// \brief Gauges that are read from the daemon's state when the metrics are requested.
struct entry_gauges
{
    int members = 0;
    int replicas = 0;
    int drainingReplicas = 0;
    std::uint64_t configVersion = 0;
    bool storeReachable = false;
    /// Time since the store last answered, directly or through a peer.
    duration storeAge = duration::zero();
    std::uint64_t logLinesDropped = 0;
};

/// \brief Counters and histograms of the entry daemon. All functions may be called from any thread.
class entry_metrics
{
public:
    /// Maximum number of routes with a label of their own; further ones are counted as "other", so
    /// that a configuration of very many routes can't exhaust the daemon's memory.
    static constexpr std::size_t maxRoutes = 64;
    /// The same for client accounts.
    static constexpr std::size_t maxAccounts = 512;

    entry_metrics();
    ~entry_metrics();

    /// \brief Records that a phase of a request on \p route took \p time.
    void onPhase(const std::string &route, request_phase phase, duration time);
    /// \brief Counts an answer of class \p answer, such as "replica" or "refused", given for \p
    /// cause.
    void onAnswer(std::string_view answer, std::string_view cause);
    /// \brief Records that a request of the account \p name ended after \p time.
    /// \param isLocalReply whether this daemon answered it in place of a replica.
    void onAccount(const std::string &name, bool isLocalReply, duration time);
    /// \brief Counts a send to a replica that ended as \p end.
    void onSend(std::string_view end);

    /// \brief Counts the result of a request for a slot: "granted", "unreachable" or the reason of
    /// a refusal.
    void onSlot(std::string_view result);
    /// \brief Sets the load of the groups that this daemon dispatches.
    void setDispatcherLoad(const dispatcher_gauges &load);
    /// \brief Sets the number of ejected replicas, which get no requests because some failed there.
    void setEjectedReplicas(int count);

    /// \brief Sets the number of requests that may not be sent, since replicas ended under them.
    void setQuarantinedRequests(std::size_t count);

    /// \returns all metrics in Prometheus' text format.
    std::string toText(const entry_gauges &gauges);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace azurehill
