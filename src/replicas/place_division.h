#pragma once

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Number of requests of one daemon that are at the engines of a service or queued for them.
using request_demand = double;

/// \brief Load report of one daemon's concurrency_limiter for one service, exchanged by gossip.
struct concurrency_report
{
    /// Requests at the engines and queued requests.
    request_demand demand = 0;
    /// Requests at the engines.
    request_demand inFlight = 0;
    /// Interval between events as a multiple of that of an idle engine; 0 with too few samples.
    double inflation = 0;
    /// The daemon's limit for one replica, over all daemons; 0 if unknown.
    double limitPerReplica = 0;

    friend bool operator==(const concurrency_report &, const concurrency_report &) = default;
};

/// \brief The reports of one daemon by service.
using concurrency_reports = std::map<std::string, concurrency_report, std::less<>>;

/// \brief The latest reports of some or all of the other daemons.
struct concurrency_report_sample
{
    concurrency_report_sample() = default;
    /// \brief The sample contains a report of each other daemon.
    concurrency_report_sample(const std::vector<concurrency_report> &all)
        : reports(all), otherDaemons(all.size())
    { }
    /// \brief \p received contains reports of some of \p count other daemons.
    concurrency_report_sample(std::span<const concurrency_report> received, std::size_t count)
        : reports(received), otherDaemons(std::max(count, received.size()))
    { }

    std::span<const concurrency_report> reports;
    /// Number of other live daemons, including those without a report here. The latter count with
    /// the mean demand of the reports.
    std::size_t otherDaemons = 0;
};

/// \brief Divides the total concurrency limit of a service among the daemons by their demand.
///
/// Callers connect to a random daemon and stay with it; after a restart of all daemons, most
/// callers are at the few that were up first. Equal shares then cause refusals for seconds although
/// the engines have capacity: with 200 programs, 90 of them at one of eleven daemons, 686 refusals
/// for 2,100 turns within 13 s, and none with shares by demand.
///
/// A daemon gets its demand and an even share of the unused rest. If the total demand exceeds the
/// limit, each daemon gets the same fraction of its demand, so that the admission of a request does
/// not depend on its daemon.
/// \param ownDemand the demand of this daemon, as old as the reports of the others. With its
/// current demand, each daemon would claim what looks free to all of them (1,100 requests for a
/// limit of 288 when eleven daemons got 100 each at once).
/// \param others the latest reports of the other daemons.
/// \param totalLimit the limit for all daemons together; 0 if unknown.
/// \returns the share of this daemon, above 0 and at most 1.
double concurrencyShare(request_demand ownDemand, const concurrency_report_sample &others,
                        double totalLimit);

/// \brief Merges the limits per replica of all daemons that use the same replicas.
///
/// Without merging, a daemon that sees a few slow answers holds back its callers while others fill
/// the same replicas: limits of 3.9 and 21.7 requests per replica at one moment of a recovery.
/// \param own the report of this daemon.
/// \param others the latest reports of the other daemons.
/// \returns the weighted mean of the limits for one replica, over all daemons, or 0 if none is
/// known.
double mergedLimitPerReplica(const concurrency_report &own,
                             const concurrency_report_sample &others);

/// \brief Merges the inflation that all daemons observe at the same replicas.
/// \returns the weighted mean of the intervals between events as multiples of that of an idle
/// engine, or 0 if no daemon has enough samples; parameters as for mergedLimitPerReplica().
double mergedInflation(const concurrency_report &own, const concurrency_report_sample &others);

} // namespace azurehill
