#pragma once

#include "members/member_state.h"

namespace azurehill {

/// \brief What daemons hold of one of them.
enum class member_health {
    Alive,
    /// Some probes of it failed. It is gone soon, unless it denies that.
    Suspect,
    Dead,
};

template <>
struct enum_names<member_health>
{
    static constexpr std::array<std::string_view, 3> names = {"alive", "suspect", "dead"};
};

/// \brief News of a member, as it passes from daemon to daemon.
struct member_update
{
    member_state state;
    member_health health = member_health::Alive;
};

/// \returns whether \p news says more than \p known: a later word of the member itself, or a worse
/// one of others about the same word. Only the member itself can better it, by a later word.
inline bool overrides(const member_update &news, const member_update &known)
{
    const auto age = compareAge(news.state, known.state);
    return age > 0 || (age == 0 && news.health > known.health);
}

} // namespace azurehill
