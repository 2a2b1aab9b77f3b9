// Measures one decision of the scheduler at 6,200 replicas, in real time.

#include "sched/sched.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <random>

namespace {

using namespace azurehill;
using wall_clock = std::chrono::steady_clock;

constexpr int replicaCount = 6200;
constexpr int dataCentres = 3;
constexpr int programs = 261;
constexpr int decisions = 200'000;

time_point at(int milli)
{
    return time_point() + seconds(1) + milliseconds(milli);
}

upstream_id replicaId(int i)
{
    return {"r" + std::to_string(i)};
}

void fill(scheduler &s)
{
    std::vector<replica> listed;
    listed.reserve(replicaCount);
    for (int i = 0; i < replicaCount; ++i) {
        listed.push_back(
            {replicaId(i), "model", {"dc" + std::to_string(i % dataCentres)}, "", false, 0});
    }
    s.setReplicas(listed, at(0));
    for (int i = 0; i < replicaCount; ++i)
        s.onReport(replicaId(i), {at(0), i % 16, 0, std::int64_t{100} * (i % 50)}, at(0));
}

pending_call callOf(int n)
{
    pending_call call;
    call.number = call_number(n) + 1;
    call.program = {"p" + std::to_string(n % programs)};
    call.tenant = {"t" + std::to_string(n % 8)};
    call.service = "model";
    call.promptTokens = 4000;
    return call;
}

} // namespace

/// Argument: the file to which the result's JSON line is added, or "-" for none.
int main(int argc, char **argv)
{
    scheduler s({}, {"dc0"}, 1);
    fill(s);
    std::vector<double> micros;
    micros.reserve(decisions);
    for (int n = 0; n < decisions; ++n) {
        pending_call call = callOf(n);
        const time_point now = at(n / 15);
        const auto began = wall_clock::now();
        s.submit(std::move(call), now);
        const auto actions = s.takeActions();
        micros.push_back(
            std::chrono::duration<double, std::micro>(wall_clock::now() - began).count());
        if (actions.size() != 1 || !std::holds_alternative<dispatch_call>(actions.front())) {
            fmt::print(stderr, "call {} was not dispatched\n", n + 1);
            return 1;
        }
        if (n >= programs)
            s.onEnd(call_number(n - programs) + 1, {std::nullopt, 3000, 200, false}, now);
    }
    std::sort(micros.begin(), micros.end());
    double sum = 0;
    for (const double m : micros)
        sum += m;
    boost::json::object line;
    line["case"] = "decision at 6200 replicas";
    line["mean_us"] = sum / decisions;
    line["p50_us"] = micros[decisions / 2];
    line["p99_us"] = micros[std::size_t{decisions} / 100 * 99];
    line["max_us"] = micros.back();
    const std::string text = boost::json::serialize(line);
    fmt::print("{}\n", text);
    if (argc > 1 && std::string(argv[1]) != "-")
        std::ofstream(argv[1], std::ios::app) << text << '\n';
    return 0;
}
