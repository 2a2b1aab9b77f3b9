#pragma once

#include "program/program_registry.h"

#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Finds the programs that never say that they end.
///
/// How long a program is idle is counted by its owner and starts anew with each owner, so that no
/// write is needed to say that a program lives.
class program_reaper
{
public:
    /// \returns the ends that are due: idle for longer than the class allows, or past the deadline
    /// with no call under way in the program or below it.
    std::vector<program_ended> tick(const program_registry &book, time_point now,
                                    std::int64_t nowUnixMs);

private:
    struct seen
    {
        std::int64_t activity = 0;
        time_point since;
    };

    std::unordered_map<program_id, seen> m_seen;
};

} // namespace azurehill
