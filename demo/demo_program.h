#pragma once

#include "http/http_message.h"
#include "runtime/runtime.h"

#include <string>
#include <vector>

namespace azurehill::demo {

struct demo_settings
{
    std::vector<endpoint> entries;
    std::string token;
    int rounds = 4;
};

/// \brief What one program of the demo saw of one call.
struct call_result
{
    std::string program;
    std::int64_t turn = 0;
    std::string key;
    bool model = false;
    bool answered = false;
    std::string content;
    std::string fault;
};

struct program_result
{
    std::vector<call_result> calls;
    int repeats = 0;
    double milliseconds = 0;
    bool created = false;
};

/// \brief Runs one program: in each round a streamed model call, a non-idempotent tool call and a
/// plain call; in the middle a sub-agent with a model call of its own.
awaitable<program_result> runProgram(demo_settings settings, int number);

} // namespace azurehill::demo
