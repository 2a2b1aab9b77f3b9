#pragma once

#include "ownership/cell_view.h"

namespace azurehill {

/// \returns whether \p m is among those that share out the programs.
bool acceptsPrograms(const member &m);

/// \returns the member of \p view that owns the family of \p program, or nullptr when no member
/// can.
///
/// Highest random weight: a member that comes or goes moves only the programs it gains or loses.
/// A program that a member keeps is that member's.
const member *ownerOf(const cell_view &view, const program_id &program);

/// \returns the owner of \p program once the joining members have joined and nothing is kept.
const member *ownerAfterPendingChanges(const cell_view &view, const program_id &program);

/// \returns the members of \p view in the order in which a caller should try them for \p program.
std::vector<const member *> preferenceOrder(const cell_view &view, const program_id &program);

} // namespace azurehill
