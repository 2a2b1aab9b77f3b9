#include "replicas/place_division.h"

#include <algorithm>
#include <numeric>

namespace azurehill {

namespace {

/// Fraction of the total limit that is divided evenly even under overload, so that a daemon whose
/// callers have only just connected has a share before the others know of its demand, three to five
/// gossip rounds later.
constexpr double minEvenFraction = 0.1;

/// A daemon's demand counts up to this multiple of the total limit: one wrong report must not take
/// the shares of all others.
constexpr double maxDemandFactor = 4;

/// Weight of the report of a daemon without requests at the engines, in requests.
constexpr double minReportWeight = 1;

/// \returns the mean of \p member over the reports that contain it, weighted by their requests in
/// flight.
double weightedMean(double concurrency_report::*member, const concurrency_report &own,
                    const concurrency_report_sample &others)
{
    double sum = 0;
    double weights = 0;
    const auto add = [&](const concurrency_report &report) {
        if (report.*member <= 0)
            return;
        // Queued requests have observed nothing of the engines.
        const double weight = minReportWeight + report.inFlight;
        sum += weight * (report.*member);
        weights += weight;
    };
    add(own);
    std::for_each(others.reports.begin(), others.reports.end(), add);
    return weights > 0 ? sum / weights : 0;
}

} // namespace

double concurrencyShare(request_demand ownDemand, const concurrency_report_sample &others,
                        double totalLimit)
{
    const double evenShare = 1 / double(1 + others.otherDaemons);
    const bool hasReports = !others.reports.empty() || others.otherDaemons == 0;
    if (totalLimit <= 0 || !hasReports)
        return evenShare;
    const double maxDemand = maxDemandFactor * totalLimit;
    ownDemand = std::min(ownDemand, maxDemand);
    const double reportedDemand
        = std::accumulate(others.reports.begin(), others.reports.end(), 0.0,
                          [&](double sum, const concurrency_report &report) {
                              return sum + std::min(report.demand, maxDemand);
                          });
    const double daemonsPerReport
        = double(others.otherDaemons) / double(std::max<std::size_t>(1, others.reports.size()));
    const double totalDemand = ownDemand + reportedDemand * daemonsPerReport;
    if (totalDemand <= 0)
        return evenShare;
    const double evenFraction = std::max(minEvenFraction, 1 - totalDemand / totalLimit);
    return evenFraction * evenShare + (1 - evenFraction) * ownDemand / totalDemand;
}

double mergedLimitPerReplica(const concurrency_report &own, const concurrency_report_sample &others)
{
    return weightedMean(&concurrency_report::limitPerReplica, own, others);
}

double mergedInflation(const concurrency_report &own, const concurrency_report_sample &others)
{
    return weightedMean(&concurrency_report::inflation, own, others);
}

} // namespace azurehill
