// Requests, bytes and processor time between daemons' control states and the platform's stand-in,
// against members, replicas, turns and programs lost: the product's own loops at their own periods.

#include "bench/capacity_platform.h"
#include "bench/capacity_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <memory>

namespace azurehill::bench {

namespace {

constexpr duration window = seconds(3);
constexpr duration readyLimit = seconds(30);
constexpr int fewTenants = 10;
constexpr int fewReplicas = 20;

double secondsSince(time_point begun)
{
    return std::chrono::duration<double>(runtime_clock::now() - begun).count();
}

/// \brief What one daemon did in a second.
struct daemon_load
{
    traffic_by_kind byKind;
    double perDaemonSecond = 0;
    double processorShare = 0;
    double turns = 0;

    double reads() const { return static_cast<double>(total(byKind).reads) * perDaemonSecond; }
    double writes() const { return static_cast<double>(total(byKind).writes) * perDaemonSecond; }
    double bytes() const { return static_cast<double>(total(byKind).bytes) * perDaemonSecond; }
    double bytes(traffic_kind kind) const
    {
        return static_cast<double>(byKind[static_cast<std::size_t>(kind)].bytes) * perDaemonSecond;
    }
};

daemon_load measureWindow(const counted_platform &platform, control_group &group)
{
    const auto before = platform.counts();
    const double processorBefore = group.processorSeconds();
    const std::int64_t turnsBefore = group.turnsDone();
    const time_point begun = runtime_clock::now();
    std::this_thread::sleep_for(window);
    const double taken = secondsSince(begun);
    daemon_load load;
    load.byKind = platform.counts() - before;
    load.perDaemonSecond = 1 / taken / static_cast<double>(group.daemons().size());
    load.processorShare = (group.processorSeconds() - processorBefore) * load.perDaemonSecond;
    load.turns = static_cast<double>(group.turnsDone() - turnsBefore) * load.perDaemonSecond;
    return load;
}

void notReady(std::string_view what, int size)
{
    fmt::print(stderr,
               R"({{"kind":"not_ready","run":"{}","size":{}}})"
               "\n",
               what, size);
}

void measureMembers()
{
    series reads({"idle.reads", "a second and daemon", "members"});
    series writes({"idle.writes", "a second and daemon", "members"});
    series bytes({"idle.bytes", "bytes a second and daemon", "members"});
    series view({"idle.view_bytes", "bytes a second and daemon", "members"});
    series lease({"idle.lease_bytes", "bytes a second and daemon", "members"});
    series processor({"idle.processor", "cores a daemon", "members"});
    for (const int members : {4, 8, 16, 32, 64}) {
        counted_platform platform(fewTenants, fewReplicas);
        control_group group(platform, 0, members);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("members", members);
            continue;
        }
        const daemon_load load = measureWindow(platform, group);
        reads.add(members, load.reads());
        writes.add(members, load.writes());
        bytes.add(members, load.bytes());
        view.add(members, load.bytes(traffic_kind::View));
        lease.add(members, load.bytes(traffic_kind::Lease));
        processor.add(members, load.processorShare);
    }
}

void measureStarts()
{
    series writes({"start.view_writes", "conditional writes of the view in all", "members"});
    for (const int members : {4, 8, 16, 32}) {
        counted_platform platform(fewTenants, fewReplicas);
        control_group group(platform, 0, members);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("start", members);
            continue;
        }
        const auto view = platform.counts()[static_cast<std::size_t>(traffic_kind::View)];
        writes.add(members, static_cast<double>(view.writes));
    }
}

void measureReplicas()
{
    series bytes({"hosts.bytes", "bytes a second and daemon", "replicas"});
    series processor({"hosts.processor", "cores a daemon", "replicas"});
    for (const int replicas : {20, 200, 1000, 3000}) {
        counted_platform platform(fewTenants, replicas);
        control_group group(platform, 0, 1);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("replicas", replicas);
            continue;
        }
        const daemon_load load = measureWindow(platform, group);
        bytes.add(replicas, load.bytes(traffic_kind::Hosts));
        processor.add(replicas, load.processorShare);
    }
}

void measureTenants()
{
    series bytes({"config.bytes", "bytes a second and daemon", "tenants"});
    for (const int tenants : {10, 50, 200, 400}) {
        counted_platform platform(tenants, fewReplicas);
        control_group group(platform, 0, 1);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("tenants", tenants);
            continue;
        }
        bytes.add(tenants, measureWindow(platform, group).bytes(traffic_kind::Config));
    }
}

void measureTurns()
{
    constexpr int members = 4;
    series journalWrites({"turns.writes", "journal writes a second and daemon", "turns a second"});
    series journalBytes({"turns.bytes", "journal bytes a second and daemon", "turns a second"});
    series processor({"turns.processor", "cores a daemon", "turns a second"});
    for (const double offered : {2.0, 5.0, 15.0, 30.0, 60.0}) {
        counted_platform platform(fewTenants, fewReplicas);
        control_group group(platform, 0, members);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("turns", static_cast<int>(offered));
            continue;
        }
        group.startTurns(offered);
        std::this_thread::sleep_for(seconds(1));
        const daemon_load load = measureWindow(platform, group);
        const traffic journal = load.byKind[static_cast<std::size_t>(traffic_kind::Journal)];
        journalWrites.add(load.turns, static_cast<double>(journal.writes) * load.perDaemonSecond);
        journalBytes.add(load.turns, load.bytes(traffic_kind::Journal));
        processor.add(load.turns, load.processorShare);
    }
}

void measureConfigurationChange()
{
    series time({"config.in_force", "seconds until the last daemon has it", "members"});
    for (const int members : {2, 4, 8, 16}) {
        counted_platform platform(fewTenants, fewReplicas);
        control_group group(platform, 0, members);
        if (!group.waitUntilReady(readyLimit)) {
            notReady("configuration", members);
            continue;
        }
        constexpr int rounds = 1;
        double longest = 0;
        for (int i = 0; i < rounds; ++i)
            longest = std::max(longest, group.changeConfiguration(fewTenants));
        time.add(members, longest);
    }
}

/// \brief One of several daemons dies, each of which owns some programs.
void measureLoss()
{
    constexpr int programsEach = 4;
    constexpr int turnsEach = 1;
    series viewWrites({"loss.view_writes", "conditional writes of the view in all", "members"});
    series journalReads({"loss.journal_reads", "journal reads in all", "members"});
    series journalBytes({"loss.journal_bytes", "journal bytes in all", "members"});
    series time({"loss.time", "seconds until all serve again", "members"});
    for (const int members : {4, 8, 16, 32}) {
        counted_platform platform(fewTenants, fewReplicas);
        control_group survivors(platform, 1, members - 1);
        auto lost = std::make_unique<control_group>(platform, 0, 1);
        const auto all = static_cast<std::size_t>(members);
        if (!survivors.waitUntilReady(readyLimit, all) || !lost->waitUntilReady(readyLimit, all)) {
            notReady("loss", members);
            continue;
        }
        survivors.runPrograms(programsEach, turnsEach);
        lost->runPrograms(programsEach, turnsEach);
        const auto before = platform.counts();
        const time_point begun = runtime_clock::now();
        lost.reset();
        if (!survivors.waitUntilReady(readyLimit, all - 1)) {
            notReady("loss", members);
            continue;
        }
        const auto load = platform.counts() - before;
        const traffic journal = load[static_cast<std::size_t>(traffic_kind::Journal)];
        viewWrites.add(
            members,
            static_cast<double>(load[static_cast<std::size_t>(traffic_kind::View)].writes));
        journalReads.add(members, static_cast<double>(journal.reads));
        journalBytes.add(members, static_cast<double>(journal.bytes));
        time.add(members, secondsSince(begun));
    }
}

/// \brief One daemon dies with all its programs and another takes them over.
void measureRecovery()
{
    constexpr int turnsEach = 2;
    series reads({"recovery.reads", "journal reads", "programs lost"});
    series bytes({"recovery.bytes", "journal bytes read", "programs lost"});
    series processor({"recovery.processor", "processor seconds", "programs lost"});
    series time({"recovery.time", "seconds from the successor's start", "programs lost"});
    for (const int programs : {10, 40, 80, 120, 160}) {
        counted_platform platform(fewTenants, fewReplicas);
        {
            control_group first(platform, 0, 1);
            if (!first.waitUntilReady(readyLimit)) {
                notReady("recovery", programs);
                continue;
            }
            first.runPrograms(programs, turnsEach);
        }
        const auto before = platform.counts();
        const time_point begun = runtime_clock::now();
        control_group second(platform, 1, 1);
        const bool ready = second.waitUntilReady(readyLimit);
        const auto found
            = second.ask([&] { return second.daemons().front()->programIds().size(); });
        if (!ready || found != static_cast<std::size_t>(programs)) {
            notReady("recovery", programs);
            continue;
        }
        const auto load = platform.counts() - before;
        const traffic journal = load[static_cast<std::size_t>(traffic_kind::Journal)];
        reads.add(programs, static_cast<double>(journal.reads));
        bytes.add(programs, static_cast<double>(journal.bytes));
        processor.add(programs, second.processorSeconds());
        time.add(programs, secondsSince(begun));
    }
}

} // namespace

} // namespace azurehill::bench

int main(int argc, const char **argv)
{
    using namespace azurehill::bench;
    struct part
    {
        std::string_view name;
        void (*run)();
    };
    const part parts[]
        = {{"members", measureMembers},   {"starts", measureStarts},
           {"replicas", measureReplicas}, {"tenants", measureTenants},
           {"turns", measureTurns},       {"configuration", measureConfigurationChange},
           {"loss", measureLoss},         {"recovery", measureRecovery}};
    // Without an argument all parts run, else the one that is named.
    for (const part &p : parts) {
        if (argc < 2 || p.name == argv[1])
            p.run();
    }
    return 0;
}
