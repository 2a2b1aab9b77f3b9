// Bytes that a daemon holds or writes, against the number of things: counted, so the same on every
// machine with one standard library.

#include "bench/capacity_report.h"
#include "bench/capacity_samples.h"
#include "daemon/call_stream.h"
#include "program/programs.h"

#include <cstdlib>
#include <malloc.h>
#include <memory>
#include <new>

namespace {

std::size_t heldNow = 0;

} // namespace

void *operator new(std::size_t size)
{
    void *p = std::malloc(size);
    if (!p)
        throw std::bad_alloc();
    heldNow += malloc_usable_size(p);
    return p;
}

void operator delete(void *p) noexcept
{
    heldNow -= p ? malloc_usable_size(p) : 0;
    std::free(p);
}

void operator delete(void *p, std::size_t) noexcept
{
    operator delete(p);
}

namespace azurehill::bench {

namespace {

/// \returns the bytes that the object made by \p make holds on the heap and in itself.
template <class Make>
double heldBytes(Make make)
{
    const std::size_t before = heldNow;
    const auto made = make();
    return static_cast<double>(heldNow - before + sizeof(made));
}

program_registry makeBook(int programs, int turns)
{
    program_registry book;
    for (int i = 0; i < programs; ++i) {
        const program_id id = makeProgramId();
        book.apply(makeCreated(id));
        for (int turn = 1; turn <= turns; ++turn) {
            book.apply(makeBegun(id, turn));
            book.apply(makeFinished(id, turn));
        }
    }
    return book;
}

void measurePrograms()
{
    series byTurns({"state.program_by_turns", "bytes", "turns of 13 kB"});
    for (const int turns : {1, 4, 15, 30, 60, 120})
        byTurns.add(turns, heldBytes([&] { return makeBook(1, turns); }));
    series byPrograms({"state.programs", "bytes", "programs without turns"});
    for (const int programs : {100, 261, 1000, 4000, 16000})
        byPrograms.add(programs, heldBytes([&] { return makeBook(programs, 0); }));
}

void measureReplicas()
{
    series held({"state.replicas", "bytes", "replicas"});
    for (const int count : {20, 200, 1000, 3000, 6200}) {
        const std::vector<replica> listed = makeReplicas(count);
        held.add(count, heldBytes([&] {
                     scheduler s({}, {"centre-01"}, 1);
                     s.setReplicas(listed, time_point());
                     return s;
                 }));
    }
}

void measureMembers()
{
    series held({"state.members", "bytes", "members"});
    series row({"row.view", "bytes", "members"});
    series lease({"row.lease", "bytes", "members"});
    for (const int count : {10, 100, 600, 1200, 1800}) {
        const cell_view view = makeView(count);
        std::vector<lease_record> leases;
        for (const member &m : view.members)
            leases.push_back({m.daemon, m.incarnation, 1, 1});
        held.add(count, heldBytes([&] {
                     membership m(view.members.front(), {});
                     m.onView(view, time_point());
                     m.onLeases(leases, time_point(), time_point());
                     return m;
                 }));
        row.add(count, static_cast<double>(encode(view).size()));
        lease.add(count, static_cast<double>(encode(leases.back()).size()));
    }
}

void measureStreams()
{
    const std::string event
        = "id: 0123456789ab-1000\ndata: "
          R"({"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]})"
          "\n\n";
    series held({"state.stream", "bytes", "tokens of a call"});
    series sent({"row.stream", "bytes", "tokens of a call"});
    for (const int tokens : {64, 330, 1000, 4000}) {
        held.add(tokens, heldBytes([&] {
                     auto stream = std::make_unique<call_stream>("0123456789ab");
                     for (int i = 0; i < tokens; ++i)
                         stream->append(event);
                     return stream;
                 }));
        sent.add(tokens, static_cast<double>(tokens) * static_cast<double>(event.size()));
    }
}

void measureConfiguration()
{
    series held({"state.configuration", "bytes", "tenants"});
    series row({"row.configuration", "bytes", "tenants"});
    for (const int tenants : {10, 50, 100, 200, 400}) {
        const std::string text = toText(makeConfiguration(tenants));
        row.add(tenants, static_cast<double>(text.size()));
        held.add(tenants, heldBytes([&] { return *parseConfiguration(text); }));
    }
}

void measureJournal()
{
    series row({"row.batch", "bytes", "turns in the batch"});
    for (const int turns : {1, 4, 16, 64}) {
        journal_batch batch{{"daemon-0001"}, "0123456789ab", 1, 1, {}};
        const program_id id = makeProgramId();
        for (int turn = 1; turn <= turns; ++turn) {
            batch.records.emplace_back(makeBegun(id, turn));
            batch.records.emplace_back(makeFinished(id, turn));
        }
        row.add(turns, static_cast<double>(encode(batch).size()));
    }
}

} // namespace

} // namespace azurehill::bench

int main()
{
    using namespace azurehill::bench;
    measurePrograms();
    measureReplicas();
    measureMembers();
    measureStreams();
    measureConfiguration();
    measureJournal();
    return 0;
}
