#pragma once

#include <span>

namespace azurehill {

/// \brief Requests of one daemon that are at the engines of a service or wait for a place there.
using place_demand = double;

/// \brief Divides the places at a service's engines among the daemons before them.
/// \param own the demand of this daemon.
/// \param others the demand of each other daemon that lives, as it told it last.
/// \returns the part that is this daemon's, above 0 and at most 1.
double placePart(place_demand own, std::span<const place_demand> others);

} // namespace azurehill
