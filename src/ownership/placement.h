#pragma once

#include "ownership/cell_view.h"

namespace azurehill {

/// \returns whether programs may be assigned to \p m: it is neither draining nor joining.
bool acceptsPrograms(const member &m);

/// \returns the member of \p view that owns the family of \p program, or nullptr if no member
/// accepts programs.
///
/// Uses rendezvous hashing (highest random weight): when a member joins or leaves, only the
/// programs it gains or loses move. A program that a member retains belongs to that member.
const member *ownerOf(const cell_view &view, const program_id &program);

/// \returns the owner of \p program once all joining members have joined and no programs are
/// retained.
const member *ownerAfterPendingChanges(const cell_view &view, const program_id &program);

/// \returns the members of \p view that accept programs, in the order in which a client should try
/// them for \p program.
std::vector<const member *> preferenceOrder(const cell_view &view, const program_id &program);

} // namespace azurehill
