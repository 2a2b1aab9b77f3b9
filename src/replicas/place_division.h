#pragma once

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Requests of one daemon that are at the engines of a service or wait for a place there.
using request_demand = double;

/// \brief What a daemon tells the others of its place at the engines of one service.
struct concurrency_report
{
    /// Requests at the engines, and those that wait for a place there.
    request_demand wanted = 0;
    /// Of these, the ones at the engines.
    request_demand inside = 0;
    /// How many times slower events come than from an idle engine; 0 if it has seen too few.
    double inflation = 0;
    /// Requests of all daemons at one replica that it holds to be right; 0 if it does not know.
    double perReplica = 0;

    friend bool operator==(const concurrency_report &, const concurrency_report &) = default;
};

/// \brief The words of one daemon by service.
using concurrency_reports = std::map<std::string, concurrency_report, std::less<>>;

/// \brief What some or all of the other daemons told last.
struct concurrency_report_sample
{
    concurrency_report_sample() = default;
    /// \brief All others were heard.
    concurrency_report_sample(const std::vector<concurrency_report> &all)
        : heard(all), others(all.size())
    { }
    /// \brief \p words came of some of \p count others.
    concurrency_report_sample(std::span<const concurrency_report> words, std::size_t count)
        : heard(words), others(std::max(count, words.size()))
    { }

    std::span<const concurrency_report> heard;
    /// Other daemons that live, heard ones included. The rest counts like the mean of those.
    std::size_t others = 0;
};

/// \brief Divides the places at a service's engines among the daemons before them.
///
/// Callers find a daemon by chance and stay with it; after a restart of all, most are at the few
/// that were up first. Equal parts then refuse for seconds what the engines have room for: at 200
/// programs, 90 of them at one of eleven daemons, 686 refusals for 2,100 turns, none with parts by
/// demand (replay of 13 s).
///
/// A daemon gets what it wants and an even part of what nobody wants. Where all together want more
/// than there is, all get the same part of what they want, so that a request's chance does not
/// depend on its daemon.
/// \param own the demand of this daemon, as old as the words of the others: with its demand of the
/// moment each daemon would take for itself what seems free to all (1,100 requests for 288 places
/// when eleven daemons got 100 each at one moment).
/// \param others what the other daemons told last.
/// \param places requests that the engines bear from all daemons; 0 if that is not known.
/// \returns the part that is this daemon's, above 0 and at most 1.
double concurrencyShare(request_demand own, const concurrency_report_sample &others, double places);

/// \brief Puts together what daemons before the same replicas hold to be right.
///
/// Alone, a daemon that sees a few slow answers holds back its callers while others before the same
/// replicas fill them: 3.9 and 21.7 requests a replica at one moment of a recovery, by the log.
/// \param own what this daemon tells.
/// \param others what the other daemons told last.
/// \returns requests of all daemons at one replica, or 0 if none knows.
double mergedLimitPerReplica(const concurrency_report &own,
                             const concurrency_report_sample &others);

/// \brief Puts together how slow daemons before the same replicas see them.
/// \returns how many times slower events come than from an idle engine, or 0 if none has seen
/// enough; parameters as for mergedLimitPerReplica().
double mergedInflation(const concurrency_report &own, const concurrency_report_sample &others);

} // namespace azurehill
