// Runs the scheduler's decisions and three baselines in virtual time. See docs/MEASUREMENTS.md.

#include "policy_run.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

namespace azurehill::bench {
namespace {

constexpr std::array<std::string_view, 4> policyNames
    = {"round-robin", "least-loaded", "sticky", "azurehill"};
constexpr int seeds = 5;

struct figures
{
    double mean = 0;
    double p95 = 0;
    double p99 = 0;
    double wasted = 0;
    /// Programs of all that were offered that finished in time, in percent.
    double inTime = 0;
    /// Replica seconds of the programs that finished in time, per second of arrivals.
    double workInTime = 0;
    double refusedPrograms = 0;
    double refusals = 0;
    /// Worst tenant's p95 as a multiple of its p95 in the run without the flood.
    double worstRatio = 0;
    /// The same against runs in which the tenant is alone on all replicas.
    double aloneRatio = 0;
    /// Mean latency of the programs of the most lightly loaded data centre, which is the last.
    double lightMean = 0;
};

double percentile(std::vector<double> values, double p)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, std::size_t(p * double(values.size())))];
}

double tenantP95(const run_result &r, int tenant)
{
    std::vector<double> latencies;
    for (const program_result &p : r.programs) {
        if (p.tenant == tenant && !p.flooding && !p.refused)
            latencies.push_back(p.latency);
    }
    return percentile(std::move(latencies), 0.95);
}

figures figuresOf(const run_result &r)
{
    figures f;
    std::vector<double> latencies;
    double light = 0;
    int lightCount = 0;
    for (const program_result &p : r.programs) {
        f.refusedPrograms += p.refused;
        f.inTime += p.inTime();
        f.workInTime += p.inTime() ? p.service : 0;
        if (p.refused)
            continue;
        latencies.push_back(p.latency);
        f.mean += p.latency;
        if (p.dataCentre == dataCentres - 1) {
            light += p.latency;
            ++lightCount;
        }
    }
    f.mean /= double(latencies.size());
    f.lightMean = light / std::max(lightCount, 1);
    f.p95 = percentile(latencies, 0.95);
    f.p99 = percentile(latencies, 0.99);
    f.wasted = 100.0 * double(r.wastedTokens) / double(r.promptTokens);
    f.inTime *= 100.0 / double(r.programs.size());
    f.workInTime /= arrivalSeconds;
    f.refusedPrograms *= 100.0 / double(r.programs.size());
    f.refusals = double(r.refusals);
    return f;
}

struct job
{
    run_case setting;
    policy_name policy;
    std::vector<figures> bySeed = std::vector<figures>(seeds);
};

std::vector<run_case> cases()
{
    std::vector<run_case> all;
    const auto add = [&](std::string name, double load) -> run_case & {
        all.emplace_back();
        all.back().name = std::move(name);
        all.back().load = load;
        return all.back();
    };
    add("load 0.6", 0.6);
    add("load 0.9", 0.9);
    add("load 1.3", 1.3);
    add("data centre lost", 0.6).loseDataCentre = true;
    add("flood", 0.6).flood = 0.9;
    add("slow replica", 0.6).slowReplica = 10;
    add("reports 2 s late", 0.9).reportDelay = 2;
    add("uneven", 0).loads = {1.3, 0.9, 0.3};
    return all;
}

figures runOne(const job &j, int seed, const scheduler_parameters &knobs)
{
    const auto s = std::uint64_t(seed) + 1;
    const run_result result = policy_run(j.setting, j.policy, knobs, s).run();
    figures f = figuresOf(result);
    if (j.setting.flood <= 0)
        return f;
    run_case calm = j.setting;
    calm.flood = 0;
    const run_result before = policy_run(calm, j.policy, knobs, s).run();
    // Tenant 0 floods; the others are its neighbours.
    for (int t = 1; t < tenantCount; ++t) {
        run_case single = calm;
        single.onlyTenant = t;
        const run_result alone = policy_run(single, j.policy, knobs, s).run();
        const double flooded = tenantP95(result, t);
        f.worstRatio = std::max(f.worstRatio, flooded / tenantP95(before, t));
        f.aloneRatio = std::max(f.aloneRatio, flooded / tenantP95(alone, t));
    }
    return f;
}

void runAll(std::vector<job> &jobs, const scheduler_parameters &knobs, unsigned threads)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned t = 0; t < threads; ++t) {
        workers.emplace_back([&] {
            for (std::size_t i = next++; i < jobs.size() * seeds; i = next++) {
                job &j = jobs[i / seeds];
                j.bySeed[i % seeds] = runOne(j, int(i % seeds), knobs);
            }
        });
    }
}

struct column
{
    const char *name;
    double figures::*value;
};

constexpr std::array<column, 11> columns = {{
    {"mean", &figures::mean},
    {"p95", &figures::p95},
    {"p99", &figures::p99},
    {"wasted_percent", &figures::wasted},
    {"in_time_percent", &figures::inTime},
    {"work_in_time", &figures::workInTime},
    {"refused_percent", &figures::refusedPrograms},
    {"refusals", &figures::refusals},
    {"neighbour_ratio", &figures::worstRatio},
    {"alone_ratio", &figures::aloneRatio},
    {"light_mean", &figures::lightMean},
}};

std::pair<double, double> meanAndSpread(const job &j, double figures::*value)
{
    double sum = 0;
    double squares = 0;
    for (const figures &f : j.bySeed) {
        sum += f.*value;
        squares += f.*value * (f.*value);
    }
    const double mean = sum / seeds;
    return {mean, std::sqrt(std::max(0.0, squares / seeds - mean * mean))};
}

void print(const std::vector<job> &jobs, std::ostream *lines)
{
    std::string header = "| case | policy |";
    std::string rule = "| --- | --- |";
    for (const column &c : columns) {
        header += fmt::format(" {} |", c.name);
        rule += " --- |";
    }
    fmt::print("{}\n{}\n", header, rule);
    for (const job &j : jobs) {
        const std::string_view policy = policyNames[std::size_t(j.policy)];
        boost::json::object line;
        line["case"] = j.setting.name;
        line["policy"] = policy;
        line["seeds"] = seeds;
        std::string row = fmt::format("| {} | {} |", j.setting.name, policy);
        for (const column &c : columns) {
            const auto [mean, spread] = meanAndSpread(j, c.value);
            row += fmt::format(" {:.2f} ± {:.2f} |", mean, spread);
            line[c.name] = mean;
            line[std::string(c.name) + "_spread"] = spread;
        }
        fmt::print("{}\n", row);
        if (lines)
            *lines << boost::json::serialize(line) << '\n';
    }
}

} // namespace
} // namespace azurehill::bench

/// Arguments: the file for the JSON lines, or "-" for none; then, for trials, a part of the names
/// of the cases to run, and knobs as NAME=VALUE.
int main(int argc, char **argv)
{
    using namespace azurehill;
    using namespace azurehill::bench;
    constexpr unsigned threads = 3;
    const std::string file = argc > 1 ? argv[1] : "-";
    const std::string only = argc > 2 ? argv[2] : "";
    scheduler_parameters knobs;
    const std::map<std::string, double scheduler_parameters::*> names
        = {{"prefillWeight", &scheduler_parameters::prefillWeight},
           {"spread", &scheduler_parameters::spread},
           {"orderPerService", &scheduler_parameters::delayPerServiceSecond},
           {"fullPressure", &scheduler_parameters::maxCallsPerSlot},
           {"sharePressure", &scheduler_parameters::fairShareCallsPerSlot},
           {"notableExcess", &scheduler_parameters::shareExcessTolerance}};
    for (int i = 3; i < argc; ++i) {
        const std::string text = argv[i];
        const auto equals = text.find('=');
        const std::string name = text.substr(0, equals);
        if (name == "callsAhead")
            knobs.maxEngineQueue = std::stoi(text.substr(equals + 1));
        else
            knobs.*names.at(name) = std::stod(text.substr(equals + 1));
    }
    std::vector<job> jobs;
    for (const run_case &c : cases()) {
        if (c.name.find(only) == std::string::npos)
            continue;
        for (std::size_t p = 0; p < policyNames.size(); ++p)
            jobs.push_back({c, policy_name(p)});
    }
    runAll(jobs, knobs, threads);
    if (file == "-") {
        print(jobs, nullptr);
        return 0;
    }
    std::ofstream lines(file);
    print(jobs, &lines);
    return 0;
}
