#pragma once

#include "demo/demo_program.h"

#include <map>

namespace azurehill::demo {

/// \brief What the upstreams say they did.
struct upstream_records
{
    /// Contents of a turn's completions, by "program/turn".
    std::multimap<std::string, std::string> completions;
    /// How often a tool or service ran, by idempotency key.
    std::map<std::string, int> runs;
};

struct demo_summary
{
    int modelTurns = 0;
    int serviceCalls = 0;
    int repeats = 0;
    int lost = 0;
    int duplicated = 0;
    double medianMs = 0;
    double longestMs = 0;
    std::vector<std::string> faults;
};

awaitable<upstream_records> readRecords(std::vector<endpoint> engines, std::vector<endpoint> tools);

/// \brief Compares what callers saw with what upstreams did. Lost: a call without an answer, or
/// with another answer than the upstream gave. Duplicated: a tool call that ran more than once.
demo_summary summarize(const std::vector<program_result> &results, const upstream_records &records);

} // namespace azurehill::demo
