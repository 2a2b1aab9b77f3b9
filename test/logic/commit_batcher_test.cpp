#include "journal/journal.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace azurehill;

namespace {

const std::vector<program_id> programs = {{"p0"}, {"p1"}, {"p2"}};

struct table_model
{
    struct write
    {
        write_batch what;
        std::string key;
    };
    struct landed
    {
        journal_batch batch;
        std::size_t place = 0;
    };
    /// Owner of each program by view number; the row's version is the number plus 100.
    std::vector<std::vector<int>> owners = {{}, {0, 0, 1}};
    std::map<std::string, landed> rows;
    std::vector<write> late;

    fencing_number number() const { return owners.size() - 1; }
    bool apply(const write &w)
    {
        const bool ok = w.what.viewVersion == number() + 100 && !rows.count(w.key);
        if (ok)
            rows.emplace(w.key, landed{w.what.batch, rows.size()});
        return ok;
    }
    void applyLateWrite(unsigned luck)
    {
        const std::size_t i = luck % late.size();
        apply(late[i]);
        late.erase(late.begin() + static_cast<std::ptrdiff_t>(i));
    }
};

/// One daemon with its batcher, and what is under way between it and the table.
struct daemon_model
{
    daemon_model(table_model &t, int i)
        : table(t), index(i), batcher({"d" + std::to_string(i)}, "i", settings())
    {
        learn();
    }
    static commit_settings settings()
    {
        commit_settings s;
        s.maxRecords = 5;
        return s;
    }

    void learn()
    {
        known = table.number();
        commit_view v;
        v.number = known;
        v.version = known + 100;
        v.owns = [this](const program_id &id) { return owns(id, known); };
        take(batcher.onView(std::move(v)));
    }
    bool owns(const program_id &id, fencing_number view) const
    {
        const auto at = std::find(programs.begin(), programs.end(), id) - programs.begin();
        return table.owners[view][static_cast<std::size_t>(at)] == index;
    }
    void append(const program_id &id, commit_policy need, time_point now)
    {
        const std::string key = std::to_string(index) + "-" + std::to_string(++lastKey);
        const auto ticket
            = batcher.append({call_begun{id, 1, key, call_kind::Model, true, 1}}, need, now);
        RC_ASSERT(ticket.has_value() || ticket.error() != append_error::TooLarge);
        RC_ASSERT(owns(id, known) || !ticket);
        if (ticket)
            open[*ticket] = {id, key, known};
    }
    void take(std::vector<commit_action> actions)
    {
        for (commit_action &a : actions) {
            if (auto *done = std::get_if<commit_done>(&a)) {
                for (const commit_ticket t : done->tickets) {
                    RC_ASSERT(open.count(t) == 1U);
                    ended.emplace_back(open[t], done->result);
                    open.erase(t);
                }
            } else {
                RC_ASSERT(!asked.has_value());
                asked = std::move(a);
            }
        }
    }
    /// Carries out what the batcher asked for, with an outcome picked by \p luck.
    void network(unsigned luck, time_point now)
    {
        if (!asked)
            return;
        const commit_action action = *std::exchange(asked, std::nullopt);
        const auto *write = std::get_if<write_batch>(&action);
        const std::string key
            = rowKey("c", write ? write->batch : std::get<read_back>(action).batch);
        const bool there = table.rows.count(key) > 0;
        batch_outcome answer = there ? batch_outcome::Written : batch_outcome::Absent;
        if (luck % 5 == 1)
            answer = batch_outcome::Unavailable;
        else if (write && luck % 5 == 2) // the answer is lost, with or without effect
            (table.apply({*write, key}), answer = batch_outcome::Unknown);
        else if (write && luck % 5 == 3) // the write takes effect later, or never
            (table.late.push_back({*write, key}), answer = batch_outcome::Unknown);
        else if (write && !there)
            answer = table.apply({*write, key}) ? batch_outcome::Written : batch_outcome::Fenced;
        answers.push_back(answer);
        if (luck % 2 == 0)
            hear(now);
    }
    void hear(time_point now)
    {
        if (answers.empty())
            return;
        const batch_outcome a = answers.front();
        answers.erase(answers.begin());
        take(batcher.onAnswer(a, now));
    }

    struct appended
    {
        program_id program;
        std::string key;
        fencing_number view = 0;
    };
    table_model &table;
    int index;
    commit_batcher batcher;
    fencing_number known = 0;
    int lastKey = 0;
    std::map<commit_ticket, appended> open;
    std::vector<std::pair<appended, commit_result>> ended;
    std::optional<commit_action> asked;
    std::vector<batch_outcome> answers;
};

void checkInvariants(const table_model &table, const std::vector<daemon_model *> &daemons)
{
    std::map<std::string, std::pair<fencing_number, int>> written; // key: fence, count
    std::map<program_id, std::map<std::pair<fencing_number, std::uint64_t>, std::size_t>> history;
    for (const auto &[key, row] : table.rows) {
        for (const journal_record &r : row.batch.records) {
            auto &w = written[std::get<call_begun>(r).key];
            w = {row.batch.fence, w.second + 1};
            history[programOf(r)][{row.batch.fence, row.batch.sequence}] = row.place;
            const daemon_id owner = row.batch.daemon;
            RC_ASSERT(daemons[owner.value == "d0" ? 0 : 1]->owns(programOf(r), row.batch.fence));
        }
    }
    for (const auto &[id, places] : history) {
        std::size_t before = 0;
        for (const auto &[order, place] : places) {
            RC_ASSERT(place >= before); // read back in the order in which it was written
            before = place;
        }
    }
    for (const daemon_model *d : daemons) {
        for (const auto &[what, result] : d->ended) {
            const auto w = written.find(what.key);
            RC_ASSERT((w == written.end() ? 0 : w->second.second)
                      == (result == commit_result::Durable ? 1 : 0));
            // Nobody else owned the program between the append and the write.
            for (auto v = what.view; w != written.end() && v <= w->second.first; ++v)
                RC_ASSERT(d->owns(what.program, v));
        }
    }
}

void runHistory(const std::vector<unsigned> &steps)
{
    table_model table;
    daemon_model a(table, 0), b(table, 1);
    const std::vector<daemon_model *> daemons = {&a, &b};
    time_point now{};
    for (const unsigned step : steps) {
        daemon_model &d = *daemons[step / 16 % 2];
        const unsigned luck = step / 32;
        switch (step % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
            d.append(programs[luck % 3],
                     luck % 2 != 0 ? commit_policy::MustCommit : commit_policy::Refusable, now);
            break;
        case 4:
        case 5:
        case 6:
            now += milliseconds(200);
            d.take(d.batcher.poll(now));
            break;
        case 7:
        case 8:
        case 9:
            d.network(luck, now);
            break;
        case 10:
            d.hear(now);
            break;
        case 11:
        case 12: // a late write and a view meet, in one order or the other
            if (!table.late.empty() && luck % 4 != 0)
                table.applyLateWrite(luck);
            if (luck % 8 > 2)
                table.owners.push_back({static_cast<int>(luck / 8 % 2),
                                        static_cast<int>(luck / 16 % 2),
                                        static_cast<int>(luck / 32 % 2)});
            if (luck % 3 != 0)
                d.learn();
            break;
        default:
            d.learn();
            break;
        }
        checkInvariants(table, daemons);
    }
    // The network heals; what is late may still land before each step.
    for (int i = 0; i < 60; ++i) {
        for (daemon_model *d : daemons) {
            d->learn();
            now += seconds(3);
            d->take(d->batcher.poll(now));
            d->network(5, now);
            d->hear(now);
        }
        if (!table.late.empty())
            table.applyLateWrite(0);
    }
    checkInvariants(table, daemons);
    RC_ASSERT(a.open.empty());
    RC_ASSERT(b.open.empty());
}

} // namespace

TEST_CASE("What a commit tells its tickets is what the table holds")
{
    // Long histories: the case that matters is a late write that lands between the read that did
    // not find it and the view that takes its program away.
    CHECK(rc::check("over lost answers, late writes, outages and views that move programs", [] {
        runHistory(
            *rc::gen::container<std::vector<unsigned>>(300, rc::gen::inRange(0U, 1U << 24U)));
    }));
}

TEST_CASE("A batch mixes programs that stay with programs that move")
{
    // A write's answer is lost; while it is read back, a view gives one of two programs to another
    // daemon. Dropping the whole batch would tell the other program's caller "not durable" for
    // nothing.
    table_model table;
    daemon_model d(table, 0);
    time_point now{};
    d.append(programs[0], commit_policy::MustCommit, now);
    d.append(programs[1], commit_policy::MustCommit, now);
    d.take(d.batcher.poll(now));
    d.asked.reset();
    d.take(d.batcher.onAnswer(batch_outcome::Unknown, now));
    table.owners.push_back({1, 0, 1});
    d.learn();
    CHECK(d.ended.empty());
    for (int i = 0; i < 4; ++i) {
        now += seconds(1);
        d.take(d.batcher.poll(now));
        d.network(0, now);
    }
    REQUIRE(d.ended.size() == 2);
    CHECK(d.ended[0].first.program == programs[0]);
    CHECK(d.ended[0].second == commit_result::Lost);
    CHECK(d.ended[1].second == commit_result::Durable);
}

TEST_CASE("A store outage of an hour")
{
    table_model table;
    daemon_model d(table, 0);
    time_point now{};
    const call_begun record{programs[0], 1, "k", call_kind::Model, true, 1};

    SUBCASE("new work is refused at once, and what ran is kept until the store is back")
    {
        d.append(programs[0], commit_policy::MustCommit, now);
        d.append(programs[0], commit_policy::Refusable, now);
        for (int i = 0; i < 3600; ++i) {
            now += seconds(1);
            d.take(d.batcher.poll(now));
            if (std::exchange(d.asked, std::nullopt))
                d.take(d.batcher.onAnswer(batch_outcome::Unavailable, now));
        }
        REQUIRE(d.ended.size() == 1);
        CHECK(d.ended[0].second == commit_result::Refused);
        CHECK(d.batcher.append({record}, commit_policy::Refusable, now).error()
              == append_error::Busy);
        CHECK(d.batcher.append({record}, commit_policy::MustCommit, now).has_value());
        now += seconds(2);
        d.take(d.batcher.poll(now));
        d.network(0, now);
        CHECK(d.ended.back().second == commit_result::Durable);
    }
    SUBCASE("a record that waits behind a stuck write is refused when its time is over")
    {
        d.append(programs[0], commit_policy::MustCommit, now);
        d.take(d.batcher.poll(now));
        d.append(programs[0], commit_policy::Refusable, now);
        now = *d.batcher.wakeAt();
        d.take(d.batcher.poll(now));
        REQUIRE(d.ended.size() == 1);
        CHECK(d.ended[0].second == commit_result::Refused);
    }
}

TEST_CASE("Large records")
{
    call_finished large;
    large.program = programs[0];
    for (int i = 0; i < 200'000; ++i)
        large.reply += "\xE2\x82\xAC"; // three bytes: no row may end within a character

    SUBCASE("go over several rows and come back whole")
    {
        journal_batch batch{{"d0"}, "i", 7, 3, {large}};
        journal_batch next{{"d0"}, "i", 8, 3, {program_ended{programs[0], end_reason::Finished}}};
        batch_reader reader;
        for (const journal_batch &b : {batch, next}) {
            for (const row_write &row : encodeRows("c", b)) {
                CHECK(row.value.size() <= maxRowBytes);
                CHECK(boost::json::parse(boost::json::serialize(boost::json::string(row.value)))
                      == boost::json::string(row.value));
                reader.feed({row.key, row.value, 1});
            }
        }
        const auto read = reader.finish();
        REQUIRE(read.has_value());
        REQUIRE(read->size() == 2);
        CHECK(std::get<call_finished>(read->front().records.front()).reply == large.reply);
    }
    SUBCASE("with a row missing are an error, never a hole in a history")
    {
        batch_reader reader;
        const auto rows = encodeRows("c", journal_batch{{"d0"}, "i", 7, 3, {large}});
        reader.feed({rows[0].key, rows[0].value, 1});
        reader.feed({rows[1].key, rows[1].value, 1});
        CHECK_FALSE(reader.finish().has_value());
    }
    SUBCASE("that no write can hold are turned away and block nothing")
    {
        table_model table;
        daemon_model d(table, 0);
        large.reply.resize(9'000'000, 'x');
        CHECK(d.batcher.append({large}, commit_policy::MustCommit, {}).error()
              == append_error::TooLarge);
        CHECK(d.batcher.poll({}).empty());
    }
}
