#pragma once

#include "sched/sched.h"

namespace azurehill::test {

inline time_point at(double seconds)
{
    return time_point()
        + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds + 1));
}

inline replica listed(const std::string &id, const std::string &dataCentre = "here")
{
    return {{id}, "model", {dataCentre}, id + ":1", false, 0};
}

inline pending_call callOf(call_number number, const std::string &program,
                           std::int64_t promptTokens = 1000)
{
    pending_call call;
    call.number = number;
    call.program = {program};
    call.tenant = {"tenant"};
    call.service = "model";
    call.promptTokens = promptTokens;
    return call;
}

/// \returns the dispatch actions, as pairs of call number and replica.
inline std::vector<std::pair<call_number, std::string>> dispatched(scheduler &s)
{
    std::vector<std::pair<call_number, std::string>> result;
    for (const sched_action &a : s.takeActions()) {
        if (const auto *d = std::get_if<dispatch_call>(&a))
            result.emplace_back(d->number, d->replica.value);
    }
    return result;
}

} // namespace azurehill::test
