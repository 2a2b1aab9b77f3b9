// Measures what a line of the log costs a daemon: taken, dropped by the rate limit, and with a
// reader of the output that stands still. Prints a JSON line for each. Argument: lines, 200,000 if
// none.

#include "core/log_event.h"
#include "core/log_sink.h"

#include <fmt/format.h>

#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

namespace azurehill::bench {

namespace {

constexpr int usualLines = 200'000;
constexpr int unlimited = 1'000'000'000;
constexpr std::size_t largeBuffer = 1U << 30U;

/// \returns processor time of the whole process, the log's thread included, in microseconds.
double processorMicroseconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return double(t.tv_sec) * 1e6 + double(t.tv_nsec) / 1e3;
}

double wallMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::micro>(now).count();
}

/// \brief Tells of one send as the daemon does: the longest of its usual lines.
void tellSend(int number)
{
    logDecision(log_event::Sent,
                {{"request", fmt::format("{:016x}", number)},
                 {"program", std::string("2e91c0d9acacf")},
                 {"attempt", std::int64_t(1)},
                 {"replica", std::string("i-590ddd53da")},
                 {"outstanding", std::int64_t(2)},
                 {"candidates", std::int64_t(18)},
                 {"finish_ms", std::int64_t(4855)},
                 {"prompt_tokens", std::int64_t(4072)},
                 {"cached_tokens", std::int64_t(3308)},
                 {"cost_ms", 160.2},
                 {"new_connection", false},
                 {"left_ms", std::int64_t(5971)}});
}

/// \brief Tells \p lines through a sink on \p descriptor and prints what one costs.
void measure(const char *what, int descriptor, const log_limits &bounds, int lines)
{
    // Left behind if its reader stands still: its thread can't be ended then.
    auto *sink = new log_sink(descriptor, bounds);
    setLogSink(sink);
    std::thread writer([sink] { sink->run(); });
    const double cpu = processorMicroseconds();
    const double wall = wallMicroseconds();
    for (int i = 0; i < lines; ++i)
        tellSend(i);
    const double told = wallMicroseconds();
    constexpr duration flushTime = seconds(2);
    const bool isFlushed = sink->stop(flushTime);
    const double used = processorMicroseconds() - cpu;
    setLogSink(nullptr);
    fmt::print("{{\"case\":\"{}\",\"lines\":{},\"dropped\":{},\"cpu_us_a_line\":{:.3f},"
               "\"caller_us_a_line\":{:.3f}}}\n",
               what, lines, sink->dropped(), used / lines, (told - wall) / lines);
    if (isFlushed)
        writer.join();
    else
        writer.detach();
}

int run(int lines)
{
    const int nowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
    int unread[2] = {-1, -1};
    if (nowhere < 0 || pipe2(unread, O_CLOEXEC) != 0) {
        fmt::print(stderr, "bench_log: can't open what it writes to\n");
        return EXIT_FAILURE;
    }
    measure("taken", nowhere, {largeBuffer, unlimited, unlimited}, lines);
    measure("dropped by the rate limit", nowhere, {}, lines);
    measure("reader stands still", unread[1], {log_limits().maxPendingBytes, unlimited, unlimited},
            lines);
    return EXIT_SUCCESS;
}

} // namespace

} // namespace azurehill::bench

int main(int argc, char **argv)
{
    const int lines = argc > 1 ? std::atoi(argv[1]) : azurehill::bench::usualLines;
    if (lines <= 0) {
        fmt::print(stderr, "bench_log: the number of lines must be above 0\n");
        return EXIT_FAILURE;
    }
    return azurehill::bench::run(lines);
}
