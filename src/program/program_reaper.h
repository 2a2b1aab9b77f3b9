#pragma once

#include "program/program_registry.h"

#include <unordered_map>
#include <vector>

namespace azurehill {

/// \brief Idle and deadline timeouts of programs whose callers never end them explicitly.
///
/// The owner measures the idle time, and a new owner restarts it from zero, so that activity needs
/// no write to the store.
class program_reaper
{
public:
    /// \returns the programs to end: idle for longer than their class allows or past their
    /// deadline, with no call in progress in the program or its descendants.
    std::vector<program_ended> findDue(const program_registry &registry, time_point now,
                                       std::int64_t nowUnixMs);

private:
    struct observation
    {
        std::int64_t activity = 0;
        time_point unchangedSince;
    };

    std::unordered_map<program_id, observation> m_observations;
};

} // namespace azurehill
