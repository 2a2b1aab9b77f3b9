// Processor time of the daemon's decisions and codecs, against size. Times are of this thread only,
// the least of several rounds, so other load on the machine disturbs them little.

#include "bench/capacity_report.h"
#include "bench/capacity_samples.h"
#include "daemon/call_stream.h"
#include "http/sse.h"
#include "program/programs.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ctime>
#include <limits>

namespace azurehill::bench {

namespace {

constexpr int rounds = 7;
constexpr double leastRoundSeconds = 0.005;

double threadSeconds()
{
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

/// \returns microseconds of processor time that one call of \p work takes.
template <class Work>
double microseconds(Work work)
{
    double least = std::numeric_limits<double>::max();
    int repeats = 1;
    for (int round = 0; round < rounds;) {
        const double begun = threadSeconds();
        for (int i = 0; i < repeats; ++i)
            work();
        const double taken = threadSeconds() - begun;
        if (taken < leastRoundSeconds) {
            repeats *= 2;
            continue;
        }
        least = std::min(least, taken * 1e6 / repeats);
        ++round;
    }
    return least;
}

/// \brief Keeps the optimiser from leaving out a computed \p value.
template <class T>
void keep(const T &value)
{
    asm volatile("" : : "r"(&value) : "memory");
}

/// \brief What control does for one turn of a program, without its sockets.
void runTurn(program_registry &book, commit_batcher &batcher, const program_id &id,
             std::int64_t turn)
{
    const call_begun begun = makeBegun(id, turn);
    const auto decision = book.decide(makeRequest(id, turn), 1);
    keep(decision);
    book.apply(begun);
    const std::string history = book.find(id)->history;
    keep(history);
    const journal_record end = makeFinished(id, turn);
    const std::vector<journal_record> records = {begun, end};
    for (const journal_record &record : records) {
        batcher.append(std::vector<journal_record>(1, record), commit_policy::MustCommit,
                       time_point());
        for (const commit_action &a : batcher.poll(time_point::max() - seconds(1)))
            keep(encode(std::get<write_batch>(a).batch));
        batcher.onAnswer(batch_outcome::Written, time_point());
    }
    book.apply(end);
}

void measureTurns()
{
    series byHistory({"time.turn", "us", "turns before it"});
    for (const int before : {0, 15, 30, 60, 119}) {
        program_registry book;
        commit_settings noPause;
        noPause.interval = duration(0);
        commit_batcher batcher({"daemon-0001"}, "0123456789ab", noPause);
        batcher.onView({1, 1, [](const program_id &) { return true; }});
        const program_id id = makeProgramId();
        book.apply(makeCreated(id));
        for (int turn = 1; turn <= before; ++turn) {
            book.apply(makeBegun(id, turn));
            book.apply(makeFinished(id, turn));
        }
        const program_registry start = book;
        // Copying the book is part of the loop but not of a turn.
        const double copying = microseconds([&] { keep(book = start); });
        const double both = microseconds([&] {
            book = start;
            runTurn(book, batcher, id, before + 1);
        });
        byHistory.add(before, both - copying);
    }
}

void measureBatches()
{
    series encoding({"time.batch_encode", "us", "turns in the batch"});
    series replay({"time.replay", "us", "turns replayed"});
    for (const int turns : {1, 4, 16, 64, 256}) {
        journal_batch batch{{"daemon-0001"}, "0123456789ab", 1, 1, {}};
        const program_id id = makeProgramId();
        batch.records.emplace_back(makeCreated(id));
        for (int turn = 1; turn <= turns; ++turn) {
            batch.records.emplace_back(makeBegun(id, turn));
            batch.records.emplace_back(makeFinished(id, turn));
        }
        const std::string text = encode(batch);
        encoding.add(turns, microseconds([&] { keep(encode(batch)); }));
        replay.add(turns, microseconds([&] {
                       program_registry book;
                       const auto decoded = decodeBatch(text);
                       for (const journal_record &r : decoded->records)
                           book.apply(r);
                       keep(book);
                   }));
    }
}

void measureTokens()
{
    const std::string chunk
        = R"(data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]})"
          "\n\n";
    series relay({"time.token_relay", "us", "tokens"});
    for (const int tokens : {64, 256, 1024, 4096}) {
        relay.add(tokens, microseconds([&] {
                      sse_reader reader;
                      call_stream stream("0123456789ab");
                      std::string answer;
                      for (int i = 0; i < tokens; ++i) {
                          reader.feed(chunk);
                          const std::string data = *reader.next();
                          const auto parsed = boost::json::parse(data);
                          answer
                              += parsed.at("choices").at(0).at("delta").at("content").as_string();
                          stream.append(
                              fmt::format("id: {}-{}\ndata: {}\n\n", stream.attempt(), i, data));
                      }
                      keep(answer);
                  }));
    }
}

void measureMembership()
{
    series leases({"time.leases_read", "us", "members"});
    series change({"time.view_change", "us", "members"});
    series place({"time.place", "us", "members"});
    series lookUp({"time.look_up", "us", "members"});
    for (const int count : {10, 100, 600, 1200, 1800}) {
        const cell_view view = makeView(count);
        const table_row row{"view", encode(view), 1};
        std::vector<std::string> texts;
        for (const member &m : view.members)
            texts.push_back(encode(lease_record{m.daemon, m.incarnation, 1, 1}));
        membership me(view.members.front(), {});
        me.onView(view, time_point());
        leases.add(count, microseconds([&] {
                       std::vector<lease_record> read;
                       read.reserve(texts.size());
                       for (const std::string &text : texts)
                           read.push_back(*decodeLease(text));
                       me.onLeases(read, time_point(), time_point());
                       keep(me.poll(time_point()));
                   }));
        change.add(count, microseconds([&] {
                       membership fresh(view.members.front(), {});
                       keep(fresh.onView(*decodeView(row), time_point()));
                   }));
        const program_id id = makeProgramId();
        place.add(count, microseconds([&] { keep(ownerOf(view, id)); }));
        lookUp.add(count, microseconds([&] { keep(preferenceOrder(view, id)); }));
    }
}

void measureReplicas()
{
    series change({"time.host_change", "us", "replicas"});
    series route({"time.route", "us", "replicas"});
    for (const int count : {20, 200, 1000, 3000, 6200}) {
        const std::vector<replica> listed = makeReplicas(count);
        scheduler s({}, {"centre-01"}, 1);
        s.setReplicas(listed, time_point());
        change.add(count, microseconds([&] { s.setReplicas(listed, time_point()); }));
        replica_table table({"centre-01"});
        table.setReplicas(listed);
        router choice({}, 1);
        const prefix_map prefixes;
        const replica_health health;
        pending_call call;
        call.service = "model-1";
        call.promptTokens = 4000;
        route.add(count, microseconds([&] {
                      keep(choice.choose(call, 200, table, prefixes, health, time_point()));
                  }));
    }
}

void measureConfiguration()
{
    series parse({"time.configuration", "us", "tenants"});
    for (const int tenants : {10, 50, 100, 200, 400}) {
        const std::string text = toText(makeConfiguration(tenants));
        parse.add(tenants, microseconds([&] { keep(parseConfiguration(text)); }));
    }
}

} // namespace

} // namespace azurehill::bench

int main()
{
    using namespace azurehill::bench;
    measureTurns();
    measureBatches();
    measureTokens();
    measureMembership();
    measureReplicas();
    measureConfiguration();
    return 0;
}
