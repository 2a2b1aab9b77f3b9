#pragma once

#include "members/member_state.h"

namespace azurehill {

/// \brief Health of a member as seen by the other daemons.
enum class member_health {
    Alive,
    /// Did not answer its probes. It is declared dead unless it refutes that in time.
    Suspect,
    Dead,
};

template <>
struct enum_names<member_health>
{
    static constexpr std::array<std::string_view, 3> names = {"alive", "suspect", "dead"};
};

/// \brief Membership update, as disseminated by gossip.
struct member_update
{
    member_state state;
    member_health health = member_health::Alive;
};

/// \returns whether \p update supersedes \p known: it has a newer state of the member, or worse
/// health for the same state. Only the member itself can improve its health, by publishing a newer
/// state.
inline bool overrides(const member_update &update, const member_update &known)
{
    const auto age = compareAge(update.state, known.state);
    return age > 0 || (age == 0 && update.health > known.health);
}

} // namespace azurehill
