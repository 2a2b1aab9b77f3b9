#include "quota/quota.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace azurehill {

namespace {

const account_id account{"a"};
const request_quota quota{4, 10};

account_registry accountsWith(const request_quota &limit)
{
    account_config rule;
    rule.name = account;
    rule.quota = limit;
    return *account_registry::make({rule});
}

/// What a write of the row meets.
enum class write_outcome { Answered, AnswerLost, Late, NotApplied };

/// \brief Daemons that write one row, lend by it, die, and are cut off, in any order.
///
/// Whoever wants the row may take any holder for silent at any moment: that is more than cuts,
/// freezes and deaths can do together.
class quota_simulation
{
public:
    explicit quota_simulation(int daemons) : m_daemons(static_cast<std::size_t>(daemons))
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            m_daemons[i].book = makeState(i);
    }

    void pass(duration time)
    {
        m_now += time;
        std::vector<delayed_write> due;
        std::swap(due, m_late);
        for (delayed_write &w : due) {
            if (w.at > m_now)
                m_late.push_back(std::move(w));
            else if (w.expected == m_version)
                store(w.row);
        }
    }

    void write(std::size_t i, write_outcome fate)
    {
        daemon &d = m_daemons[i];
        constexpr int tries = 4;
        for (int n = 0; n < tries; ++n) {
            const quota_row row = d.book->prepare(m_accounts, m_now);
            if (fate == write_outcome::Late)
                m_late.push_back({row, d.version, m_now + seconds(4)});
            if (fate == write_outcome::Late || fate == write_outcome::NotApplied)
                return;
            if (d.version == m_version) {
                store(row);
                if (fate == write_outcome::Answered) {
                    d.version = m_version;
                    d.book->onRowWritten(row, m_now);
                }
                return;
            }
            const bool isMine = m_row->holder == name(i) && m_row->incarnation == d.incarnation
                && !m_row->isReleased;
            if (!isMine)
                d.book->takeOver(m_row, stateOf(*m_row), m_now);
            d.version = m_version;
        }
    }

    void release(std::size_t i)
    {
        daemon &d = m_daemons[i];
        if (!d.book->isHeld() || d.version != m_version)
            return;
        store(d.book->release(m_now));
        d.version = m_version;
    }

    void restart(std::size_t i)
    {
        ++m_daemons[i].incarnation;
        m_daemons[i].version = 0;
        m_daemons[i].book = makeState(i);
    }

    /// \brief A request whose credit is used \p after it was asked for.
    void ask(std::size_t i, duration after, credit_use use)
    {
        quota_shard_state &book = *m_daemons[i].book;
        if (!book.mayLend(m_now))
            return;
        const int most = maxCreditsPerWindow(quota, m_bound);
        const credit_id id{name(i), 0, ++m_number};
        if (book.lend(account, id, use, most, m_now).verdict == lend_verdict::Lent)
            m_useTimes.push_back(m_now + after);
    }

    /// \returns the most credits that were used in any window.
    std::size_t maxUsesPerWindow()
    {
        std::sort(m_useTimes.begin(), m_useTimes.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_useTimes.size(); ++last) {
            while (m_useTimes[last] - m_useTimes[first] > m_bound.window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::size_t size() const { return m_daemons.size(); }
    std::size_t used() const { return m_useTimes.size(); }

private:
    struct daemon
    {
        std::optional<quota_shard_state> book;
        store_version version = 0;
        std::int64_t incarnation = 1;
    };
    struct delayed_write
    {
        quota_row row;
        store_version expected = 0;
        time_point at;
    };

    static daemon_id name(std::size_t i) { return {"d" + std::to_string(i)}; }
    quota_shard_state makeState(std::size_t i) const
    {
        return {name(i), m_daemons[i].incarnation, m_bound};
    }
    holder_state stateOf(const quota_row &row) const
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (name(i) == row.holder && m_daemons[i].incarnation > row.incarnation)
                return holder_state::NoLongerLending;
        }
        return row.isReleased ? holder_state::NoLongerLending : holder_state::Silent;
    }
    void store(const quota_row &row)
    {
        // As text, so that what the text loses is lost here too.
        m_row = decodeQuotaRow(encodeQuotaRow(row));
        ++m_version;
    }

    quota_bound m_bound;
    account_registry m_accounts = accountsWith(quota);
    std::vector<daemon> m_daemons;
    time_point m_now{seconds(1000)};
    std::optional<quota_row> m_row;
    store_version m_version = 0;
    std::vector<delayed_write> m_late;
    std::vector<time_point> m_useTimes;
    std::uint64_t m_number = 0;
};

void step(quota_simulation &world)
{
    const auto i = *rc::gen::inRange<std::size_t>(0, world.size());
    const int kind = *rc::gen::inRange(0, 20);
    if (kind < 3)
        world.write(i, write_outcome::Answered);
    else if (kind == 3)
        world.write(i, write_outcome::AnswerLost);
    else if (kind == 4)
        world.write(i, write_outcome::Late);
    else if (kind == 5)
        world.write(i, write_outcome::NotApplied);
    else if (kind == 6)
        world.release(i);
    else if (kind == 7)
        world.restart(i);
    else if (kind < 12)
        world.pass(milliseconds(*rc::gen::inRange(1, 1500)));
    else
        for (int n = *rc::gen::inRange(1, 40); n > 0; --n)
            world.ask(i, milliseconds(*rc::gen::inRange(0, 251)),
                      n % 4 == 0 ? credit_use::Begin : credit_use::Continue);
}

} // namespace

// Guards against a quota that several daemons each lend whole, since they know of each other late.
TEST_CASE("whatever dies, is cut off or answers late, no window has more than the bound used in it")
{
    for (const int daemons : {3, 30, 88, 300}) {
        CHECK(rc::check("bound over " + std::to_string(daemons) + " daemons", [daemons] {
            quota_simulation world(daemons);
            // A few daemons do most, so that rows change hands and come back.
            for (int n = *rc::gen::inRange(1, 120); n > 0; --n)
                step(world);
            RC_ASSERT(world.maxUsesPerWindow()
                      <= std::size_t(maxCreditsPerWindow(quota, quota_bound())));
        }));
    }
}

TEST_CASE("a holder's death costs its account a part of the credits for a while, not all")
{
    quota_bound bound;
    const account_registry accounts = accountsWith({100, 100});
    const int most = maxCreditsPerWindow({100, 100}, bound);
    time_point now{seconds(1000)};
    quota_shard_state first({"d1"}, 1, bound);
    first.takeOver(std::nullopt, holder_state::NoLongerLending, now);
    const quota_row row = first.prepare(accounts, now);
    first.onRowWritten(row, now);
    REQUIRE(first.mayLend(now));
    quota_shard_state second({"d2"}, 1, bound);
    const auto lendAll = [&] {
        int lent = 0;
        second.onRowWritten(second.prepare(accounts, now), now);
        for (std::uint64_t i = 0; i < 2000; ++i) {
            const lend_result r
                = second.lend(account, {{"d2"}, 1, i}, credit_use::Continue, most, now);
            if (r.verdict == lend_verdict::ReservationTooSmall)
                second.onRowWritten(second.prepare(accounts, now), now);
            lent += r.verdict == lend_verdict::Lent ? 1 : 0;
        }
        return lent;
    };

    SUBCASE("its successor lends at once what it may not have lent")
    {
        second.takeOver(row, holder_state::Silent, now);
        CHECK(lendAll() >= most / 2);
    }
    SUBCASE("and all of it once nothing that it may have lent counts")
    {
        second.takeOver(row, holder_state::Silent, now);
        now += quota_shard_state::validity + credit_ledger::creditLifetime + bound.window
            + milliseconds(1);
        CHECK(lendAll() == most);
    }
    SUBCASE("a holder that ended lends no more, so that it counts for one window only")
    {
        second.takeOver(row, holder_state::NoLongerLending, now);
        now += credit_ledger::creditLifetime + bound.window + milliseconds(1);
        CHECK(lendAll() == most);
    }
    SUBCASE("a holder that can't write its row stops in time")
    {
        CHECK(first.mayLend(now + quota_shard_state::validity - milliseconds(1)));
        CHECK_FALSE(first.mayLend(now + quota_shard_state::validity));
    }
}

TEST_CASE("a row of quotas and its messages are read as they were written")
{
    quota_row row{{"d1"}, 7, true, {}};
    row.levels[account] = {12, {{3, milliseconds(400)}}};
    const auto read = decodeQuotaRow(encodeQuotaRow(row));
    REQUIRE(read);
    CHECK(read->holder == row.holder);
    CHECK(read->isReleased);
    CHECK(read->levels.at(account).foreign.at(0).credits == 3);
    CHECK_FALSE(decodeQuotaRow("{}"));
    CHECK_FALSE(decodeQuotaRow(R"({"holder":"d","incarnation":1,"released":false,
        "levels":{"a":{"credits":-1,"foreign":[]}}})"));

    const credit_id id{{"d1"}, 7, 42};
    const auto ask
        = decodeQuotaMessage(encodeQuotaMessage(credit_request{id, account, credit_use::Begin}));
    REQUIRE(ask);
    CHECK(std::get<credit_request>(*ask).id == id);
    CHECK(std::get<credit_request>(*ask).use == credit_use::Begin);
    const auto denied = decodeQuotaMessage(encodeQuotaMessage(credit_denied{9, milliseconds(70)}));
    REQUIRE(denied);
    CHECK(std::get<credit_denied>(*denied).retryAfter == milliseconds(70));
    CHECK_FALSE(decodeQuotaMessage("[9]"));
    CHECK_FALSE(decodeQuotaMessage("[0,1]"));
    CHECK_FALSE(decodeQuotaMessage("{}"));
}

} // namespace azurehill
