#include "core/log.h"

#include "core/log_line.h"
#include "core/log_sink.h"
#include "core/runtime_clock.h"

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <cstdio>

namespace azurehill {

namespace {

std::atomic<log_level> minLogLevel{log_level::Info};

std::string utcNow()
{
    const std::int64_t ms = unixMilliseconds();
    const std::time_t whole = ms / 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(whole), ms % 1000);
}

boost::json::value toJson(const log_field &field)
{
    return std::visit([](const auto &v) { return boost::json::value(v); }, field.value);
}

} // namespace

void setLogLevel(log_level lowest)
{
    minLogLevel = lowest;
}

std::string formatLogLine(log_level level, std::string_view event,
                          std::initializer_list<log_field> fields)
{
    boost::json::object line;
    line["time"] = utcNow();
    line["level"] = toName(level);
    line["event"] = event;
    for (const log_field &field : fields)
        line[field.name] = toJson(field);
    return boost::json::serialize(line) + '\n';
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < minLogLevel)
        return;
    // One write a line, so that lines of several threads don't mix.
    fmt::print(stderr, "{}", formatLogLine(level, event, fields));
}

void logDecision(log_event event, std::initializer_list<log_field> fields)
{
    const log_level level = levelOf(event);
    if (level < minLogLevel)
        return;
    log_sink *sink = currentLogSink();
    const std::int64_t nowMs = unixMilliseconds();
    if (sink && !sink->admits(event, nowMs))
        return;
    const std::string line = formatLogLine(level, toName(event), fields);
    if (sink)
        sink->put(event, line, nowMs);
    else
        fmt::print(stderr, "{}", line);
}

} // namespace azurehill
