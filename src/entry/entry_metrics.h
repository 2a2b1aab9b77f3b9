#pragma once

#include "core/core.h"

#include <memory>
#include <string>
#include <string_view>

namespace azurehill {

/// \brief The steps of a request whose time is measured.
enum class request_phase { Store, Place, FirstByte, Events, Durable, Whole };

template <>
struct enum_names<request_phase>
{
    static constexpr std::array<std::string_view, 6> names
        = {"store", "place", "first_byte", "events", "durable", "whole"};
};

/// \brief What is read from the daemon's state when the metrics are asked for.
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
    /// Most routes that are told apart; later ones are counted as "other", so that a configuration
    /// of very many routes can't take the daemon's memory.
    static constexpr std::size_t maxRoutes = 64;
    /// The same for client accounts.
    static constexpr std::size_t maxAccounts = 512;

    entry_metrics();
    ~entry_metrics();

    /// \brief A phase of a request on \p route took \p time.
    void onPhase(const std::string &route, request_phase phase, duration time);
    /// \brief A request got an answer of class \p answer, such as "replica" or "refused", for
    /// \p cause.
    void onAnswer(std::string_view answer, std::string_view cause);
    /// \brief A request of the account \p name ended after \p time.
    /// \param isLocalReply whether this daemon answered it in a replica's place.
    void onAccount(const std::string &name, bool isLocalReply, duration time);
    /// \brief A send to a replica ended as \p end.
    void onSend(std::string_view end);

    /// \brief Takes in how many replicas get no requests because some failed there.
    void setEjectedReplicas(int count);

    /// \returns all of them in Prometheus' text format.
    std::string toText(const entry_gauges &gauges);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace azurehill
